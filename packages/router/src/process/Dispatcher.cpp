#include "process/Dispatcher.h"

#include <utility>

namespace cactuswick::router {

namespace {

using transport::EventLoop;

constexpr int64_t kTickMs = 50;

} // namespace

Dispatcher::Dispatcher(EventLoop& aLoop, routing::EndpointTableOptions aOptions)
  : loop_(aLoop)
  , endpoints_(std::move(aOptions))
  , tick_(aLoop, [this] { OnTick(); })
{
  tick_.StartRepeating(kTickMs);
}

void
Dispatcher::OnTick()
{
  const int64_t now = EventLoop::NowMs();
  endpoints_.Expire(now);
  std::vector<std::string> names;
  for (auto& [serves, lane] : lanes_) {
    names.push_back(serves);
    for (const auto& expired : lane.queue_.TakeExpired(now)) {
      const auto found = requests_.find(expired.id_);
      const DispatchRequest request = std::move(found->second);
      requests_.erase(found);
      request.onExpired_();
    }
  }
  for (const auto& serves : names) {
    Pump(serves);
  }
}

void
Dispatcher::Enqueue(DispatchRequest aRequest)
{
  const std::string serves = aRequest.serves_;
  lanes_[serves].queue_.Push(aRequest.queued_);
  const routing::RequestId id = aRequest.queued_.id_;
  requests_[id] = std::move(aRequest);
  SchedulePump(serves);
}

void
Dispatcher::Cancel(routing::RequestId aId)
{
  const auto found = requests_.find(aId);
  if (found != requests_.end()) {
    lanes_[found->second.serves_].queue_.Remove(aId);
    requests_.erase(found);
  }
}

void
Dispatcher::SchedulePump(const std::string& aServes)
{
  loop_.Defer([this, aServes] { Pump(aServes); });
}

void
Dispatcher::Pump(const std::string& aServes)
{
  Lane& lane = lanes_[aServes];
  while (lane.queue_.Size() > 0 && PlaceNext(aServes, lane)) {
  }
}

bool
Dispatcher::PlaceNext(const std::string& aServes, Lane& aLane)
{
  const int64_t now = EventLoop::NowMs();
  // The slot is taken before the turn, so that no turn is lost without one.
  if (!endpoints_.HasCapacity(aServes, now)) {
    return false;
  }
  const auto next = aLane.queue_.Pop();
  const auto found = requests_.find(next->id_);
  const DispatchRequest request = std::move(found->second);
  requests_.erase(found);
  auto place = Acquire(request, request.excluded_, now);
  if (!place) {
    // Only endpoints that failed it before have room: better than none.
    place = Acquire(request, {}, now);
  }
  const model::Announcement announcement = *endpoints_.Find(place->endpoint_);
  request.onPlaced_(announcement, place->prefillTokens_);
  return true;
}

std::optional<routing::PromptPlacement>
Dispatcher::Acquire(const DispatchRequest& aRequest,
                    const std::vector<std::string>& aExcluded,
                    int64_t aNowMs)
{
  if (aRequest.prompt_) {
    return endpoints_.AcquireForPrompt(
      aRequest.serves_, *aRequest.prompt_, aExcluded, aNowMs);
  }
  const auto endpoint = endpoints_.Acquire(
    aRequest.serves_, aRequest.prefixHash_, aExcluded, aNowMs);
  if (!endpoint) {
    return std::nullopt;
  }
  return routing::PromptPlacement{ .endpoint_ = *endpoint };
}

void
Dispatcher::Release(const std::string& aServes,
                    const std::string& aEndpoint,
                    routing::AttemptOutcome aOutcome)
{
  endpoints_.Release(aEndpoint, aOutcome, EventLoop::NowMs());
  SchedulePump(aServes);
}

void
Dispatcher::OnFinished(const std::string& aServes,
                       const routing::QueuedRequest& aRequest,
                       ledger::Tokens aActual)
{
  Lane& lane = lanes_[aServes];
  lane.queue_.CorrectCost(aRequest, aActual);
  lane.meter_.Add(aRequest.cost_, EventLoop::NowMs());
}

void
Dispatcher::OnFirstToken(const std::string& aEndpoint, int64_t aElapsedMs)
{
  endpoints_.OnFirstToken(aEndpoint, aElapsedMs);
}

bool
Dispatcher::ApplyAnnouncement(const model::Announcement& aAnnouncement,
                              int64_t aAgeMs)
{
  const bool news =
    endpoints_.ApplyAnnouncement(aAnnouncement, aAgeMs, EventLoop::NowMs());
  if (news) {
    for (const auto& serves : aAnnouncement.serves_) {
      SchedulePump(serves);
    }
  }
  return news;
}

bool
Dispatcher::Serves(const std::string& aServes) const
{
  return endpoints_.Serves(aServes, EventLoop::NowMs());
}

int64_t
Dispatcher::QueuedThrough(const std::string& aServes, int64_t aPriority) const
{
  const auto found = lanes_.find(aServes);
  return found == lanes_.end() ? 0
                               : found->second.queue_.CountAtOrAbove(aPriority);
}

int64_t
Dispatcher::ExpectedWaitMs(const std::string& aServes,
                           const routing::QueuedRequest& aRequest) const
{
  const auto found = lanes_.find(aServes);
  if (found == lanes_.end()) {
    return 0;
  }
  const Lane& lane = found->second;
  return lane.meter_.ExpectedWaitMs(lane.queue_.TokensAhead(aRequest));
}

} // namespace cactuswick::router

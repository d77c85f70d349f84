#include "process/Dispatcher.h"

#include <set>
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
  for (auto& [serves, serviceQueue] : serviceQueues_) {
    names.push_back(serves);
    for (const auto& expired : serviceQueue.queue_.TakeExpired(now)) {
      const auto found = requests_.find(expired.id_);
      const DispatchRequest request = std::move(found->second);
      requests_.erase(found);
      request.onExpired_();
    }
  }
  EndEvacuated(now);
  for (const auto& serves : names) {
    DispatchQueued(serves);
  }
}

void
Dispatcher::EndEvacuated(int64_t aNowMs)
{
  if (endpoints_.Evacuated().Size() == 0) {
    return;
  }
  std::set<std::string> evacuated;
  for (const auto& [serves, serviceQueue] : serviceQueues_) {
    if (serviceQueue.queue_.Size() > 0 &&
        endpoints_.IsEvacuated(serves, aNowMs)) {
      evacuated.insert(serves);
    }
  }
  std::vector<routing::RequestId> ended;
  for (const auto& [id, request] : requests_) {
    if (request.onEvacuated_ && evacuated.contains(request.serves_)) {
      ended.push_back(id);
    }
  }
  for (const auto id : ended) {
    // A hook may cancel other requests.
    const auto found = requests_.find(id);
    if (found != requests_.end()) {
      const auto onEvacuated = found->second.onEvacuated_;
      Cancel(id);
      onEvacuated();
    }
  }
}

void
Dispatcher::SetEvacuations(routing::Evacuations aEvacuations)
{
  endpoints_.SetEvacuations(std::move(aEvacuations));
  ScheduleEndpointsStopped();
  for (const auto& [serves, serviceQueue] : serviceQueues_) {
    ScheduleDispatch(serves);
  }
}

void
Dispatcher::SetAdmittedVersions(routing::AdmittedVersions aVersions)
{
  endpoints_.SetAdmittedVersions(std::move(aVersions), EventLoop::NowMs());
  for (const auto& [serves, serviceQueue] : serviceQueues_) {
    ScheduleDispatch(serves);
  }
}

void
Dispatcher::Enqueue(DispatchRequest aRequest)
{
  const std::string serves = aRequest.serves_;
  serviceQueues_[serves].queue_.Push(aRequest.queued_);
  const routing::RequestId id = aRequest.queued_.id_;
  requests_[id] = std::move(aRequest);
  ScheduleDispatch(serves);
}

void
Dispatcher::Cancel(routing::RequestId aId)
{
  const auto found = requests_.find(aId);
  if (found != requests_.end()) {
    serviceQueues_[found->second.serves_].queue_.Remove(aId);
    requests_.erase(found);
  }
}

void
Dispatcher::ScheduleDispatch(const std::string& aServes)
{
  loop_.Defer([this, aServes] { DispatchQueued(aServes); });
}

void
Dispatcher::DispatchQueued(const std::string& aServes)
{
  ServiceQueue& serviceQueue = serviceQueues_[aServes];
  Unplaced unplaced;
  while (serviceQueue.queue_.Size() > 0 &&
         PlaceNext(aServes, serviceQueue, unplaced)) {
  }
  for (const auto& request : unplaced.requests_) {
    // It has not used its turn. A hook may have cancelled it meanwhile.
    serviceQueue.queue_.CorrectCost(request, 0);
    if (requests_.contains(request.id_)) {
      serviceQueue.queue_.Push(request);
    }
  }
}

bool
Dispatcher::PlaceNext(const std::string& aServes,
                      ServiceQueue& aServiceQueue,
                      Unplaced& aUnplaced)
{
  const int64_t now = EventLoop::NowMs();
  // Without a free slot nothing is popped, as a popped request has used its
  // turn in the fair queue.
  if (!endpoints_.HasCapacity(aServes, now)) {
    return false;
  }
  const auto next = aServiceQueue.queue_.Pop();
  const auto found = requests_.find(next->id_);
  const auto& version = found->second.softwareVersion_;
  const bool isBusy = version && aUnplaced.busyVersions_.contains(*version);
  const auto place = isBusy ? std::nullopt : Choose(found->second, now);
  if (!place) {
    aUnplaced.requests_.push_back(*next);
    aUnplaced.busyVersions_.insert(version.value_or(""));
    return true;
  }
  const DispatchRequest request = std::move(found->second);
  requests_.erase(found);
  const model::Announcement announcement = *endpoints_.Find(place->endpoint_);
  request.onPlaced_(announcement, place->prefillTokens_);
  return true;
}

std::optional<routing::PromptPlacement>
Dispatcher::Choose(const DispatchRequest& aRequest, int64_t aNowMs)
{
  auto place = Acquire(aRequest, aRequest.excluded_, aNowMs);
  return place ? std::move(place) : Acquire(aRequest, {}, aNowMs);
}

std::optional<routing::PromptPlacement>
Dispatcher::Acquire(const DispatchRequest& aRequest,
                    const std::vector<std::string>& aExcluded,
                    int64_t aNowMs)
{
  if (aRequest.prompt_) {
    return endpoints_.AcquireForPrompt(aRequest.serves_,
                                       *aRequest.prompt_,
                                       aExcluded,
                                       aNowMs,
                                       aRequest.softwareVersion_);
  }
  const auto endpoint = endpoints_.Acquire(aRequest.serves_,
                                           aRequest.prefixHash_,
                                           aExcluded,
                                           aNowMs,
                                           aRequest.softwareVersion_);
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
  ScheduleDispatch(aServes);
}

void
Dispatcher::OnFinished(const std::string& aServes,
                       const routing::QueuedRequest& aRequest,
                       ledger::Tokens aActual)
{
  ServiceQueue& serviceQueue = serviceQueues_[aServes];
  serviceQueue.queue_.CorrectCost(aRequest, aActual);
  serviceQueue.meter_.Add(aRequest.cost_, EventLoop::NowMs());
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
  const bool changed =
    endpoints_.ApplyAnnouncement(aAnnouncement, aAgeMs, EventLoop::NowMs());
  if (changed) {
    // A leaving endpoint or a new incarnation in place of an earlier one.
    ScheduleEndpointsStopped();
    for (const auto& serves : aAnnouncement.serves_) {
      ScheduleDispatch(serves);
    }
  }
  return changed;
}

void
Dispatcher::Retire(const std::string& aEndpoint, int64_t aIncarnation)
{
  endpoints_.Retire(aEndpoint, aIncarnation, EventLoop::NowMs());
  ScheduleEndpointsStopped();
}

void
Dispatcher::MarkLost(const std::string& aEndpoint, int64_t aIncarnation)
{
  endpoints_.MarkLost(aEndpoint, aIncarnation, EventLoop::NowMs());
  ScheduleEndpointsStopped();
}

routing::SignalEffect
Dispatcher::OnSignals(const model::Announcement& aEndpoint,
                      const routing::ResponseSignals& aSignals)
{
  const auto effect = endpoints_.OnSignals(
    aEndpoint.endpoint_, aEndpoint.incarnation_, aSignals, EventLoop::NowMs());
  if (effect != routing::SignalEffect::kNone) {
    ScheduleEndpointsStopped();
  }
  return effect;
}

void
Dispatcher::SetEndpointsStoppedHook(std::function<void()> aHook)
{
  onEndpointsStopped_ = std::move(aHook);
}

void
Dispatcher::ScheduleEndpointsStopped()
{
  // Deferred, so that calls that connect in the same turn of the loop count as
  // sent.
  if (onEndpointsStopped_ && !std::exchange(endpointsStoppedScheduled_, true)) {
    loop_.Defer([this] {
      endpointsStoppedScheduled_ = false;
      onEndpointsStopped_();
    });
  }
}

bool
Dispatcher::TakesRequests(const model::Announcement& aEndpoint,
                          const std::string& aServes,
                          int64_t aPlacedMs) const
{
  const int64_t now = EventLoop::NowMs();
  return endpoints_.TakesRequests(
           aEndpoint.endpoint_, aEndpoint.incarnation_, now) &&
         !endpoints_.ColdEndpoints().HasBecomeCold(
           aEndpoint.endpoint_, aServes, aPlacedMs, now);
}

void
Dispatcher::OnSent(const model::Announcement& aEndpoint, int64_t aPlacedMs)
{
  endpoints_.ColdEndpoints().OnSent(
    aEndpoint.endpoint_, aPlacedMs, EventLoop::NowMs());
}

std::optional<int64_t>
Dispatcher::BackoffUntilMs(const std::string& aServes) const
{
  return endpoints_.BackoffUntilMs(aServes, EventLoop::NowMs());
}

bool
Dispatcher::Serves(const std::string& aServes) const
{
  return endpoints_.Serves(aServes, EventLoop::NowMs());
}

bool
Dispatcher::ServesAt(const model::StreamOrigin& aOrigin) const
{
  return endpoints_.ServesAt(aOrigin, EventLoop::NowMs());
}

bool
Dispatcher::IsEvacuated(const std::string& aServes) const
{
  return endpoints_.IsEvacuated(aServes, EventLoop::NowMs());
}

int64_t
Dispatcher::QueuedAtOrAbove(const std::string& aServes, int64_t aPriority) const
{
  const auto found = serviceQueues_.find(aServes);
  return found == serviceQueues_.end()
           ? 0
           : found->second.queue_.CountAtOrAbove(aPriority);
}

int64_t
Dispatcher::ExpectedWaitMs(const std::string& aServes,
                           const routing::QueuedRequest& aRequest) const
{
  const auto found = serviceQueues_.find(aServes);
  if (found == serviceQueues_.end()) {
    return 0;
  }
  const ServiceQueue& serviceQueue = found->second;
  return serviceQueue.meter_.ExpectedWaitMs(
    serviceQueue.queue_.TokensAhead(aRequest));
}

} // namespace cactuswick::router

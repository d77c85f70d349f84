#include "cactuswick/routing/request/FairQueue.h"

#include <algorithm>
#include <utility>

namespace cactuswick::routing {

namespace {

constexpr double kPercent = 100.0;
/// Served tokens are halved together beyond this sum, so that floors look at
/// the recent past.
constexpr double kServedWindowTokens = 50'000;
/// Idle workspaces are forgotten beyond this number per rank.
constexpr size_t kMaxIdleFlows = 1'024;

} // namespace

void
FairQueue::Push(const QueuedRequest& aRequest)
{
  Rank& rank = ranks_[aRequest.priority_];
  rank.floorPercent_ = aRequest.floorPercent_;
  Flow& flow = rank.flows_[aRequest.workspace_];
  if (flow.requests_.empty()) {
    // An idle workspace saves up no claim on the past.
    flow.start_ = std::max(flow.start_, rank.virtualTime_);
  }
  flow.requests_[{ aRequest.deadlineMs_, aRequest.id_ }] = aRequest;
  index_[aRequest.id_] = { aRequest.priority_,
                           aRequest.workspace_,
                           aRequest.deadlineMs_ };
  flow.weight_ = aRequest.weight_;
  flow.queued_ += aRequest.cost_;
  rank.queued_ += aRequest.cost_;
  ++rank.waiting_;
}

FairQueue::Rank*
FairQueue::NextRank()
{
  double total = 0;
  for (const auto& [priority, rank] : ranks_) {
    total += rank.served_;
  }
  Rank* first = nullptr;
  Rank* neediest = nullptr;
  double largestDeficit = 0;
  for (auto& [priority, rank] : ranks_) {
    if (rank.waiting_ == 0) {
      continue;
    }
    first = first == nullptr ? &rank : first;
    const double floor =
      total * static_cast<double>(rank.floorPercent_) / kPercent;
    if (floor - rank.served_ > largestDeficit) {
      largestDeficit = floor - rank.served_;
      neediest = &rank;
    }
  }
  return neediest == nullptr ? first : neediest;
}

std::optional<QueuedRequest>
FairQueue::Pop()
{
  Rank* rank = NextRank();
  if (rank == nullptr) {
    return std::nullopt;
  }
  Flow* next = nullptr;
  for (auto& [workspace, flow] : rank->flows_) {
    const bool earlier = next == nullptr || flow.start_ < next->start_;
    if (!flow.requests_.empty() && earlier) {
      next = &flow;
    }
  }
  if (next == nullptr) {
    return std::nullopt;
  }
  const QueuedRequest request = next->requests_.begin()->second;
  next->requests_.erase(next->requests_.begin());
  rank->virtualTime_ = std::max(rank->virtualTime_, next->start_);
  next->start_ +=
    static_cast<double>(request.cost_) / static_cast<double>(request.weight_);
  Account(*rank, static_cast<double>(request.cost_));
  Forget(request);
  return request;
}

void
FairQueue::Account(Rank& aRank, double aTokens)
{
  aRank.served_ = std::max(0.0, aRank.served_ + aTokens);
  double total = 0;
  for (const auto& [priority, rank] : ranks_) {
    total += rank.served_;
  }
  if (total <= kServedWindowTokens) {
    return;
  }
  for (auto& [priority, rank] : ranks_) {
    rank.served_ /= 2;
  }
}

void
FairQueue::Forget(const QueuedRequest& aRequest)
{
  Rank& rank = ranks_[aRequest.priority_];
  rank.flows_[aRequest.workspace_].queued_ -= aRequest.cost_;
  rank.queued_ -= aRequest.cost_;
  --rank.waiting_;
  index_.erase(aRequest.id_);
  DropIdleFlows(rank);
}

void
FairQueue::DropIdleFlows(Rank& aRank)
{
  if (aRank.flows_.size() <= kMaxIdleFlows) {
    return;
  }
  std::erase_if(aRank.flows_, [&](const auto& aPair) {
    return aPair.second.requests_.empty() &&
           aPair.second.start_ <= aRank.virtualTime_;
  });
}

bool
FairQueue::Remove(RequestId aId)
{
  const auto found = index_.find(aId);
  if (found == index_.end()) {
    return false;
  }
  const Place place = found->second;
  auto& requests = ranks_[place.priority_].flows_[place.workspace_].requests_;
  const auto at = requests.find({ place.deadlineMs_, aId });
  const QueuedRequest request = at->second;
  requests.erase(at);
  Forget(request);
  return true;
}

void
FairQueue::Correct(const QueuedRequest& aRequest, ledger::Tokens aActual)
{
  const auto found = ranks_.find(aRequest.priority_);
  if (found == ranks_.end()) {
    return;
  }
  const auto difference = static_cast<double>(aActual - aRequest.cost_);
  Account(found->second, difference);
  const auto flow = found->second.flows_.find(aRequest.workspace_);
  if (flow != found->second.flows_.end()) {
    flow->second.start_ += difference / static_cast<double>(aRequest.weight_);
  }
}

std::vector<QueuedRequest>
FairQueue::TakeExpired(int64_t aNowMs)
{
  std::vector<QueuedRequest> expired;
  for (auto& [priority, rank] : ranks_) {
    for (auto& [workspace, flow] : rank.flows_) {
      for (const auto& [key, request] : flow.requests_) {
        if (request.deadlineMs_ > aNowMs) {
          break;
        }
        expired.push_back(request);
      }
    }
  }
  for (const auto& request : expired) {
    Remove(request.id_);
  }
  return expired;
}

ledger::Tokens
FairQueue::TokensAhead(const QueuedRequest& aRequest) const
{
  ledger::Tokens tokens = 0;
  for (const auto& [priority, rank] : ranks_) {
    if (priority < aRequest.priority_) {
      tokens += rank.queued_;
    } else if (priority == aRequest.priority_) {
      tokens += AheadInRank(rank, aRequest);
    }
  }
  return tokens;
}

ledger::Tokens
FairQueue::AheadInRank(const Rank& aRank, const QueuedRequest& aRequest)
{
  const auto own = aRank.flows_.find(aRequest.workspace_);
  const ledger::Tokens backlog =
    own == aRank.flows_.end() ? 0 : own->second.queued_;
  // While the own backlog and this request are served, every other workspace
  // gets its part by weight, as far as it has work.
  const double part = static_cast<double>(backlog + aRequest.cost_) /
                      static_cast<double>(aRequest.weight_);
  ledger::Tokens tokens = backlog;
  for (const auto& [workspace, flow] : aRank.flows_) {
    if (workspace != aRequest.workspace_) {
      const auto share =
        static_cast<ledger::Tokens>(part * static_cast<double>(flow.weight_));
      tokens += std::min(flow.queued_, share);
    }
  }
  return tokens;
}

int64_t
FairQueue::CountThrough(int64_t aPriority) const
{
  int64_t count = 0;
  for (const auto& [priority, rank] : ranks_) {
    count += priority <= aPriority ? static_cast<int64_t>(rank.waiting_) : 0;
  }
  return count;
}

} // namespace cactuswick::routing

#include "cactuswick/routing/request/FairQueue.h"

#include <algorithm>
#include <utility>

namespace cactuswick::routing {

namespace {

constexpr double kPercent = 100.0;
/// Sum of served tokens above which those of all ranks are halved, so that
/// older ones count less in the minimum shares.
constexpr double kServedWindowTokens = 50'000;
/// Number of workspaces in a rank above which idle ones are removed.
constexpr size_t kFlowCleanupThreshold = 1'024;

} // namespace

void
FairQueue::Push(const QueuedRequest& aRequest)
{
  Rank& rank = ranks_[aRequest.priority_];
  rank.floorPercent_ = aRequest.floorPercent_;
  Flow& flow = rank.flows_[aRequest.workspace_];
  if (flow.requests_.empty()) {
    // A workspace accumulates no credit while it is idle.
    flow.virtualStart_ = std::max(flow.virtualStart_, rank.virtualTime_);
  }
  flow.requests_[{ aRequest.deadlineMs_, aRequest.id_ }] = aRequest;
  positions_[aRequest.id_] = { aRequest.priority_,
                               aRequest.workspace_,
                               aRequest.deadlineMs_ };
  flow.weight_ = aRequest.weight_;
  flow.queuedTokens_ += aRequest.cost_;
  rank.queuedTokens_ += aRequest.cost_;
  ++rank.queuedRequests_;
}

FairQueue::Rank*
FairQueue::SelectRank()
{
  double total = 0;
  for (const auto& [priority, rank] : ranks_) {
    total += rank.servedTokens_;
  }
  Rank* first = nullptr;
  Rank* mostUnderserved = nullptr;
  double largestDeficit = 0;
  for (auto& [priority, rank] : ranks_) {
    if (rank.queuedRequests_ == 0) {
      continue;
    }
    first = first == nullptr ? &rank : first;
    const double floor =
      total * static_cast<double>(rank.floorPercent_) / kPercent;
    if (floor - rank.servedTokens_ > largestDeficit) {
      largestDeficit = floor - rank.servedTokens_;
      mostUnderserved = &rank;
    }
  }
  return mostUnderserved == nullptr ? first : mostUnderserved;
}

std::optional<QueuedRequest>
FairQueue::Pop()
{
  Rank* rank = SelectRank();
  if (rank == nullptr) {
    return std::nullopt;
  }
  Flow* next = nullptr;
  for (auto& [workspace, flow] : rank->flows_) {
    const bool earlier =
      next == nullptr || flow.virtualStart_ < next->virtualStart_;
    if (!flow.requests_.empty() && earlier) {
      next = &flow;
    }
  }
  if (next == nullptr) {
    return std::nullopt;
  }
  const QueuedRequest request = next->requests_.begin()->second;
  next->requests_.erase(next->requests_.begin());
  rank->virtualTime_ = std::max(rank->virtualTime_, next->virtualStart_);
  next->virtualStart_ +=
    static_cast<double>(request.cost_) / static_cast<double>(request.weight_);
  ChargeRank(*rank, static_cast<double>(request.cost_));
  RemoveFromTotals(request);
  return request;
}

void
FairQueue::ChargeRank(Rank& aRank, double aTokens)
{
  aRank.servedTokens_ = std::max(0.0, aRank.servedTokens_ + aTokens);
  double total = 0;
  for (const auto& [priority, rank] : ranks_) {
    total += rank.servedTokens_;
  }
  if (total <= kServedWindowTokens) {
    return;
  }
  for (auto& [priority, rank] : ranks_) {
    rank.servedTokens_ /= 2;
  }
}

void
FairQueue::RemoveFromTotals(const QueuedRequest& aRequest)
{
  Rank& rank = ranks_[aRequest.priority_];
  rank.flows_[aRequest.workspace_].queuedTokens_ -= aRequest.cost_;
  rank.queuedTokens_ -= aRequest.cost_;
  --rank.queuedRequests_;
  positions_.erase(aRequest.id_);
  DropIdleFlows(rank);
}

void
FairQueue::DropIdleFlows(Rank& aRank)
{
  if (aRank.flows_.size() <= kFlowCleanupThreshold) {
    return;
  }
  std::erase_if(aRank.flows_, [&](const auto& aPair) {
    return aPair.second.requests_.empty() &&
           aPair.second.virtualStart_ <= aRank.virtualTime_;
  });
}

bool
FairQueue::Remove(RequestId aId)
{
  const auto found = positions_.find(aId);
  if (found == positions_.end()) {
    return false;
  }
  const Position position = found->second;
  auto& requests =
    ranks_[position.priority_].flows_[position.workspace_].requests_;
  const auto at = requests.find({ position.deadlineMs_, aId });
  const QueuedRequest request = at->second;
  requests.erase(at);
  RemoveFromTotals(request);
  return true;
}

void
FairQueue::CorrectCost(const QueuedRequest& aRequest, ledger::Tokens aActual)
{
  const auto found = ranks_.find(aRequest.priority_);
  if (found == ranks_.end()) {
    return;
  }
  const auto difference = static_cast<double>(aActual - aRequest.cost_);
  ChargeRank(found->second, difference);
  const auto flow = found->second.flows_.find(aRequest.workspace_);
  if (flow != found->second.flows_.end()) {
    flow->second.virtualStart_ +=
      difference / static_cast<double>(aRequest.weight_);
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
      tokens += rank.queuedTokens_;
    } else if (priority == aRequest.priority_) {
      tokens += TokensAheadInRank(rank, aRequest);
    }
  }
  return tokens;
}

ledger::Tokens
FairQueue::TokensAheadInRank(const Rank& aRank, const QueuedRequest& aRequest)
{
  const auto ownFlow = aRank.flows_.find(aRequest.workspace_);
  const ledger::Tokens backlog =
    ownFlow == aRank.flows_.end() ? 0 : ownFlow->second.queuedTokens_;
  // While the workspace's backlog and this request are served, every other
  // workspace is served in proportion to its weight, up to its own backlog.
  const double tokensPerWeight = static_cast<double>(backlog + aRequest.cost_) /
                                 static_cast<double>(aRequest.weight_);
  ledger::Tokens tokens = backlog;
  for (const auto& [workspace, flow] : aRank.flows_) {
    if (workspace != aRequest.workspace_) {
      const auto share = static_cast<ledger::Tokens>(
        tokensPerWeight * static_cast<double>(flow.weight_));
      tokens += std::min(flow.queuedTokens_, share);
    }
  }
  return tokens;
}

int64_t
FairQueue::CountAtOrAbove(int64_t aPriority) const
{
  int64_t count = 0;
  for (const auto& [priority, rank] : ranks_) {
    count +=
      priority <= aPriority ? static_cast<int64_t>(rank.queuedRequests_) : 0;
  }
  return count;
}

} // namespace cactuswick::routing

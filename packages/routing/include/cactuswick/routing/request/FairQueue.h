#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cactuswick/ledger/request/RouterOp.h"

namespace cactuswick::routing {

using RequestId = int64_t;

/// A request that waits for an endpoint.
struct QueuedRequest
{
  RequestId id_ = 0;
  std::string workspace_;
  int64_t weight_ = 1;
  /// Priority of the rank; lower values are served first.
  int64_t priority_ = 0;
  /// Minimum share of the served tokens that the rank gets under load of other
  /// ranks.
  int64_t floorPercent_ = 0;
  /// Estimated cost in tokens.
  ledger::Tokens cost_ = 1;
  int64_t deadlineMs_ = 0;

  bool operator==(const QueuedRequest&) const = default;
};

/// Request queue with three levels: ranks by strict priority with a guaranteed
/// minimum share, weighted fair queueing by tokens over the workspaces of a
/// rank, and earliest deadline first within a workspace.
class FairQueue
{
public:
  void Push(const QueuedRequest& aRequest);

  /// Removes and returns the request to serve next; nullopt when empty.
  std::optional<QueuedRequest> Pop();

  /// Removes a request without serving it; returns false when it isn't queued.
  bool Remove(RequestId aId);

  /// Replaces the estimated cost that a served request was charged with by
  /// @p aActual, for its rank and workspace.
  void CorrectCost(const QueuedRequest& aRequest, ledger::Tokens aActual);

  /// Removes and returns all requests whose deadline has passed.
  std::vector<QueuedRequest> TakeExpired(int64_t aNowMs);

  size_t Size() const { return positions_.size(); }
  /// Returns the tokens that would be served before a request that is pushed
  /// now: all of higher-priority ranks and, in its own rank, the backlog of its
  /// workspace and the fair share of each other workspace.
  ledger::Tokens TokensAhead(const QueuedRequest& aRequest) const;
  /// Returns the number of requests queued at this or a higher priority.
  int64_t CountAtOrAbove(int64_t aPriority) const;

private:
  /// Queue of one workspace in a rank.
  struct Flow
  {
    /// Virtual start time of the next request.
    double virtualStart_ = 0;
    int64_t weight_ = 1;
    ledger::Tokens queuedTokens_ = 0;
    /// Requests by deadline, then in order of arrival, which the ids follow.
    std::map<std::pair<int64_t, RequestId>, QueuedRequest> requests_;
  };

  struct Rank
  {
    int64_t floorPercent_ = 0;
    double virtualTime_ = 0;
    /// Recently served tokens; decays.
    double servedTokens_ = 0;
    ledger::Tokens queuedTokens_ = 0;
    size_t queuedRequests_ = 0;
    std::map<std::string, Flow> flows_;
  };

  /// Key of a request in the queue.
  struct Position
  {
    int64_t priority_ = 0;
    std::string workspace_;
    int64_t deadlineMs_ = 0;
  };

  /// Returns the rank furthest below its minimum share, or else the highest
  /// priority one with requests; null when the queue is empty.
  Rank* SelectRank();
  static ledger::Tokens TokensAheadInRank(const Rank& aRank,
                                          const QueuedRequest& aRequest);
  /// Adds served tokens to a rank; negative ones correct an estimate.
  void ChargeRank(Rank& aRank, double aTokens);
  /// Updates the totals and @c positions_ after a request was removed from its
  /// flow.
  void RemoveFromTotals(const QueuedRequest& aRequest);
  static void DropIdleFlows(Rank& aRank);

  std::map<int64_t, Rank> ranks_;
  std::map<RequestId, Position> positions_;
};

} // namespace cactuswick::routing

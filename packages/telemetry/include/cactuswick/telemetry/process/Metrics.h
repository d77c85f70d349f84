#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace cactuswick::telemetry {

/// Exact event counters.
enum class Counter
{
  kRequests,
  kCompletedRequests,
  kRefused,
  kOutcomeUnknown,
  kRetries,
  kTokensBilled,
  kTokensStreamed,
  kSettlementsCommitted,
  kSettlementsDuplicate,
  kSettlementsHeld,
  kSettlementsCopied,
  kGrantsAcquired,
  kGrantsDenied,
  kGrantsRecalled,
  kTokensBorrowed,
  kTokensLent,
  kConfigChanges,
  kLogEntriesCommitted,
  kLogSyncs,
  kElections,
  kSnapshots,
  kPushedBytes,
  kSnapshotTransfers,
  kVotesDenied,
  kElectionsFailed,
  kTrafficBytes,
  kEndpointBreaks,
  kPartsQuarantined,
  kPartProbes,
  kEndpointsBackingOff,
  kEndpointsLeaving,
  kAttemptsWithdrawn,
  kEvacuationRefusals,
  kConnectionsCut,
  /// Responses on connections to endpoints that belonged to other requests.
  kResponsesSkipped,
  /// Complete responses that were read behind skipped ones.
  kResponsesAfterSkipped,
  /// Streams that were not taken up, as it is not known where they began.
  kOriginsUnknown,
  /// Times at which a router found itself cut off from the endpoints.
  kCutOffs,
  /// Connections to endpoints that a router opened for others.
  kTunnelsOpened,
  /// Requests that were sent to endpoints through other routers.
  kTunnelledAttempts,
};

/// Distributions. Count and sum are exact; the quantiles are estimated by the
/// P-square algorithm (Jain and Chlamtac).
enum class Summary
{
  kFirstTokenMs,
  kTotalMs,
  kQueueMs,
  kSettleMs,
  kGrantWaitMs,
  /// Time at an endpoint to the first event, of prompts of which much or little
  /// was expected to be read there.
  kFirstEventLongMs,
  kFirstEventShortMs,
  kControlRoundTripMs,
  kCommitMs,
  kSyncMs,
  kWritesPerSync,
  kLoopIterationMs,
  kCatchUpMs,
};

/// Values that go up and down.
enum class Gauge
{
  kInFlight,
  kQueued,
  kEndpoints,
  kPendingSettlements,
  kConfigRevision,
  kLeader,
  kTerm,
  kCommitIndex,
  kSettledKeys,
  kVoters,
  kLearners,
  kQuarantinedParts,
  kEvacuatedDomains,
  kColdEndpoints,
  kHeldConnectionBytes,
  kHeldHeadBytes,
  kHeldBodyBytes,
  kHeldRequestBytes,
  kHeldResponseBytes,
  /// Of the engine with most, over all routers.
  kPendingPrefillTokens,
  kPendingPrefillAgeMs,
};

/// Metrics of one task. Not thread-safe: only for use on that task's loop.
class Metrics
{
public:
  Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;
  ~Metrics();

  /// Adds @p aBy to a counter; @p aLabel is the label's value, such as a rank
  /// or a reason, or empty.
  void Count(Counter aCounter, int64_t aBy = 1, std::string_view aLabel = {});
  void Observe(Summary aSummary, double aValue, std::string_view aLabel = {});
  void Set(Gauge aGauge, int64_t aValue);

  int64_t Value(Counter aCounter, std::string_view aLabel = {}) const;

  /// Returns all metrics in the Prometheus text format, version 0.0.4.
  std::string Expose() const;

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace cactuswick::telemetry

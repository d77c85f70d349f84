#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace cactuswick::telemetry {

/// Events that are counted exactly.
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
};

/// Quantities whose distribution is estimated (P-square, Jain and Chlamtac);
/// p95 and p99 are estimates, count and sum are exact.
enum class Summary
{
  kFirstTokenMs,
  kTotalMs,
  kQueueMs,
  kSettleMs,
  kGrantWaitMs,
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
};

/// The numbers of one task; owned and read on that task's loop.
class Metrics
{
public:
  Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;
  ~Metrics();

  /// Counts an event; @p aLabel is a rank, a reason or empty.
  void Count(Counter aCounter, int64_t aBy = 1, std::string_view aLabel = {});
  void Observe(Summary aSummary, double aValue, std::string_view aLabel = {});
  void Set(Gauge aGauge, int64_t aValue);

  int64_t Value(Counter aCounter, std::string_view aLabel = {}) const;

  /// Text exposition format, version 0.0.4.
  std::string Expose() const;

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace cactuswick::telemetry

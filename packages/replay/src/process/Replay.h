#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "process/Trace.h"

namespace cactuswick::replay {

/// Queueing and placement policy of a replay.
enum class Policy
{
  /// The decisions of cactuswick's own routing code.
  kCactuswick,
  /// Baseline: one FIFO queue at the router; picks the engine with the fewest
  /// requests in flight among those with a free slot.
  kFirstCome,
  /// Baseline without a queue at the router or priorities in the engines.
  kRandom,
  /// As kRandom, with the engines in turn.
  kRoundRobin,
  /// As kRandom, but picks the engine with the fewest requests in flight.
  kLeastInFlight,
};

constexpr std::array<std::string_view, 5>
EnumNames(const Policy*)
{
  return { "cactuswick", "first-come", "random", "round-robin", "least" };
}

/// Outcome of one request of the trace.
struct Result
{
  Arrival arrival_;
  bool refused_ = false;
  bool failed_ = false;
  /// Refused although the queue was empty and an engine had a free slot.
  bool falselyRefused_ = false;
  bool prefixHit_ = false;
  int64_t retries_ = 0;
  int64_t firstTokenMs_ = -1;
  int64_t endMs_ = -1;

  bool IsComplete() const { return endMs_ >= 0; }
  int64_t TimeToFirstTokenMs() const { return firstTokenMs_ - arrival_.atMs_; }
  int64_t TotalTimeMs() const { return endMs_ - arrival_.atMs_; }
};

/// Guaranteed percentage of the tokens served, per rank.
inline constexpr std::array<int64_t, 3> kFloorPercents = { 0, 15, 10 };

/// Replays a trace under a policy; returns one result per arrival. The same
/// seed gives the same results.
std::vector<Result>
Run(const Trace& aTrace, Policy aPolicy, uint64_t aSeed);

} // namespace cactuswick::replay

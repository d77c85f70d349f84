#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "process/Replay.h"

namespace cactuswick::replay {

inline constexpr int64_t kRanks = 3;

/// What came of the requests that arrived while a trace's flood lasted.
struct Measures
{
  /// Urgent requests, from arrival to first token.
  double firstTokenP50Ms_ = 0;
  double firstTokenP95Ms_ = 0;
  double firstTokenP99Ms_ = 0;
  /// Deadlines that small workspaces met, in percent, per rank.
  std::array<double, kRanks> deadlinesMet_{};
  /// Share of the tokens finished while the flood lasted, in percent.
  std::array<double, kRanks> tokenShare_{};
  /// What a rank asked for while the flood lasted, on the same scale.
  std::array<double, kRanks> tokenDemand_{};
  /// Slowdown of the worst-off small workspace against being alone, in the
  /// ranks above the last; and Jain's index over all small workspaces.
  double worstSlowdown_ = 0;
  double jainIndex_ = 0;
  int64_t refused_ = 0;
  int64_t falselyRefused_ = 0;
  int64_t failed_ = 0;
  int64_t retries_ = 0;
  /// Of the requests that were placed, in percent.
  double prefixHits_ = 0;
};

/// Replays a trace and measures it.
Measures
Measure(const Trace& aTrace, Policy aPolicy, uint64_t aSeed);

} // namespace cactuswick::replay

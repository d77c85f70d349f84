#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "process/Replay.h"

namespace cactuswick::replay {

inline constexpr int64_t kRanks = 3;

/// Outcome of the requests that arrived in a trace's measurement window.
struct Measures
{
  /// Time to first token of urgent requests.
  double firstTokenP50Ms_ = 0;
  double firstTokenP95Ms_ = 0;
  double firstTokenP99Ms_ = 0;
  /// Percentage of deadlines met for small workspaces, per rank; -1 without
  /// requests.
  std::array<double, kRanks> deadlinesMet_{};
  /// Percentage of the tokens completed in the window, per rank.
  std::array<double, kRanks> tokenShare_{};
  /// Tokens requested in the window, as a percentage of the tokens completed
  /// in it, per rank.
  std::array<double, kRanks> tokenDemand_{};
  /// Largest slowdown of a small workspace relative to having the fleet to
  /// itself, without the least urgent rank; Jain's fairness index of the
  /// slowdowns of all small workspaces.
  double worstSlowdown_ = 0;
  double jainIndex_ = 0;
  int64_t refused_ = 0;
  int64_t falselyRefused_ = 0;
  int64_t failed_ = 0;
  int64_t retries_ = 0;
  /// Prefix cache hits, as a percentage of the requests that got a first token.
  double prefixHits_ = 0;
};

/// Replays a trace and computes its measures.
Measures
Measure(const Trace& aTrace, Policy aPolicy, uint64_t aSeed);

} // namespace cactuswick::replay

#pragma once

#include <cstdint>
#include <string>
#include <vector>

/// Replay of seeded traces against the routing decisions of one router, in
/// virtual time, so that results are reproducible.
namespace cactuswick::replay {

/// One request of a trace.
struct Arrival
{
  int64_t atMs_ = 0;
  std::string workspace_;
  /// Rank; 0 is the most urgent.
  int64_t priority_ = 0;
  uint64_t prefix_ = 0;
  int64_t promptTokens_ = 0;
  int64_t answerTokens_ = 0;
  int64_t deadlineMs_ = 0;
};

/// Change of an engine's state during a trace.
struct EngineEvent
{
  int64_t atMs_ = 0;
  int engine_ = 0;
  /// Factor on the token times of requests admitted from now on.
  double slowdown_ = 1;
  bool fails_ = false;
  bool leaves_ = false;
};

/// A workload and the engine events that occur during it.
struct Trace
{
  std::string name_;
  int engines_ = 0;
  std::vector<Arrival> arrivals_;
  std::vector<EngineEvent> events_;
  /// Measurement window; a trace's overload or engine fault falls into it.
  int64_t windowStartMs_ = 0;
  int64_t windowEndMs_ = 0;
};

/// Batch slots, token times and prefix cache size of each engine.
inline constexpr int kSlots = 8;
inline constexpr int64_t kTokenMs = 20;
inline constexpr double kPrefillMsPerToken = 0.2;
inline constexpr int kCachedPrefixes = 64;

/// Returns the names of all traces.
std::vector<std::string>
TraceNames();

/// Generates a trace; the same seed gives the same trace. An unknown name gives
/// the base load only.
Trace
MakeTrace(const std::string& aName, uint64_t aSeed);

/// Returns the trace with only the arrivals of one workspace, as the baseline
/// of its slowdown.
Trace
FilterByWorkspace(const Trace& aTrace, const std::string& aWorkspace);

} // namespace cactuswick::replay

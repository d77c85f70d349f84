#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace cactuswick::control {

struct LoopMonitorOptions
{
  /// Time between turns while nothing holds the loop up.
  int64_t intervalMs_ = 0;
  /// A turn that stood longer is reported.
  int64_t thresholdMs_ = 0;
};

/// What a loop did between two of its ticks.
struct LoopDelayReport
{
  /// Time since the last tick beyond the interval.
  int64_t delayMs_ = 0;
  /// Processor time of the loop's thread in it: far less than the time stood
  /// says that the machine gave this process no processor.
  int64_t cpuMs_ = 0;
  int64_t sends_ = 0;
  int64_t bytes_ = 0;
  /// Messages handled, by kind.
  std::map<std::string_view, int64_t> messagesByKind_;
  /// Long turns before this one of which nothing was said.
  int64_t suppressed_ = 0;

  bool operator==(const LoopDelayReport&) const = default;
};

/// Finds turns of a loop that stood long, and with what.
class LoopMonitor
{
public:
  explicit LoopMonitor(LoopMonitorOptions aOptions);

  /// @p aKind is a constant.
  void OnMessageHandled(std::string_view aKind);
  void OnSent(int64_t aBytes);
  /// Ends the turn: its time, and a report at most once a second.
  std::optional<LoopDelayReport> OnTick(int64_t aNowMs, int64_t aCpuMs);
  int64_t LastDelayMs() const { return lastDelayMs_; }

private:
  LoopMonitorOptions options_;
  LoopDelayReport current_;
  std::optional<int64_t> lastTickMs_;
  int64_t lastCpuMs_ = 0;
  int64_t lastDelayMs_ = 0;
  std::optional<int64_t> lastReportMs_;
  int64_t suppressed_ = 0;
};

/// The report as fields of a line.
std::string
Describe(const LoopDelayReport& aReport);

} // namespace cactuswick::control

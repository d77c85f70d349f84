#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace cactuswick::control {

struct LoopMonitorOptions
{
  /// Interval of the ticks while the loop is not delayed.
  int64_t intervalMs_ = 0;
  /// Shortest delay that is reported.
  int64_t thresholdMs_ = 0;
};

/// What an event loop did between two ticks.
struct LoopDelayReport
{
  /// Time since the last tick in excess of the interval.
  int64_t delayMs_ = 0;
  /// CPU time of the loop's thread between the ticks. If it is far below the
  /// delay, the process was not scheduled by the machine.
  int64_t cpuMs_ = 0;
  int64_t sends_ = 0;
  int64_t bytes_ = 0;
  /// Number of messages handled, by kind.
  std::map<std::string_view, int64_t> messagesByKind_;
  /// Delays since the previous report that were not reported themselves.
  int64_t suppressed_ = 0;

  bool operator==(const LoopDelayReport&) const = default;
};

/// Detects delays of an event loop and reports what it did meanwhile.
class LoopMonitor
{
public:
  explicit LoopMonitor(LoopMonitorOptions aOptions);

  /// @p aKind must refer to a constant, as only the view is stored.
  void OnMessageHandled(std::string_view aKind);
  void OnSent(int64_t aBytes);
  /// Ends the interval. Returns a report if the delay reached the threshold, at
  /// most once a second.
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

/// Formats the report as key=value fields of a log line.
std::string
Describe(const LoopDelayReport& aReport);

} // namespace cactuswick::control

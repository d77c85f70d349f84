#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace cactuswick::control {

struct TurnWatchOptions
{
  /// Time between turns while nothing holds the loop up.
  int64_t intervalMs_ = 0;
  /// A turn that stood longer is reported.
  int64_t longMs_ = 0;
};

/// What a loop did between two of its ticks.
struct TurnReport
{
  /// Time since the last tick beyond the interval.
  int64_t stoodMs_ = 0;
  /// Processor time of the loop's thread in it: far less than the time stood
  /// says that the machine gave this process no processor.
  int64_t processorMs_ = 0;
  int64_t sends_ = 0;
  int64_t bytes_ = 0;
  /// Messages handled, by kind.
  std::map<std::string_view, int64_t> handled_;
  /// Long turns before this one of which nothing was said.
  int64_t unsaid_ = 0;

  bool operator==(const TurnReport&) const = default;
};

/// Finds turns of a loop that stood long, and with what.
class TurnWatch
{
public:
  explicit TurnWatch(TurnWatchOptions aOptions);

  /// @p aKind is a constant.
  void Handled(std::string_view aKind);
  void Sent(int64_t aBytes);
  /// Ends the turn: its time, and a report at most once a second.
  std::optional<TurnReport> OnTick(int64_t aNowMs, int64_t aProcessorMs);
  int64_t LastStoodMs() const { return lastStoodMs_; }

private:
  TurnWatchOptions options_;
  TurnReport turn_;
  std::optional<int64_t> lastTickMs_;
  int64_t lastProcessorMs_ = 0;
  int64_t lastStoodMs_ = 0;
  std::optional<int64_t> lastReportMs_;
  int64_t unsaid_ = 0;
};

/// The report as fields of a line.
std::string
Describe(const TurnReport& aReport);

} // namespace cactuswick::control

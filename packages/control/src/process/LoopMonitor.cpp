#include "process/LoopMonitor.h"

#include <algorithm>
#include <utility>

#include "cactuswick/model/process/Text.h"

namespace cactuswick::control {

namespace {

constexpr int64_t kReportIntervalMs = 1'000;

} // namespace

TurnWatch::TurnWatch(TurnWatchOptions aOptions)
  : options_(aOptions)
{
}

void
TurnWatch::Handled(std::string_view aKind)
{
  ++turn_.handled_[aKind];
}

void
TurnWatch::Sent(int64_t aBytes)
{
  ++turn_.sends_;
  turn_.bytes_ += aBytes;
}

std::optional<TurnReport>
TurnWatch::OnTick(int64_t aNowMs, int64_t aProcessorMs)
{
  TurnReport turn = std::exchange(turn_, {});
  const int64_t since = aNowMs - lastTickMs_.value_or(aNowMs);
  turn.stoodMs_ = std::max<int64_t>(0, since - options_.intervalMs_);
  turn.processorMs_ = aProcessorMs - lastProcessorMs_;
  lastTickMs_ = aNowMs;
  lastProcessorMs_ = aProcessorMs;
  lastStoodMs_ = turn.stoodMs_;
  if (turn.stoodMs_ < options_.longMs_) {
    return std::nullopt;
  }
  if (lastReportMs_ && aNowMs - *lastReportMs_ < kReportIntervalMs) {
    ++unsaid_;
    return std::nullopt;
  }
  lastReportMs_ = aNowMs;
  turn.unsaid_ = std::exchange(unsaid_, 0);
  return turn;
}

std::string
Describe(const TurnReport& aReport)
{
  std::string text = model::Concat("stood_ms=",
                                   aReport.stoodMs_,
                                   " processor_ms=",
                                   aReport.processorMs_,
                                   " sends=",
                                   aReport.sends_,
                                   " bytes=",
                                   aReport.bytes_,
                                   " unsaid=",
                                   aReport.unsaid_);
  for (const auto& [kind, count] : aReport.handled_) {
    model::AppendTo(text, " ", kind, "=", count);
  }
  return text;
}

} // namespace cactuswick::control

#include "process/LoopMonitor.h"

#include <algorithm>
#include <utility>

#include "cactuswick/model/process/Text.h"

namespace cactuswick::control {

namespace {

constexpr int64_t kReportIntervalMs = 1'000;

} // namespace

LoopMonitor::LoopMonitor(LoopMonitorOptions aOptions)
  : options_(aOptions)
{
}

void
LoopMonitor::OnMessageHandled(std::string_view aKind)
{
  ++current_.messagesByKind_[aKind];
}

void
LoopMonitor::OnSent(int64_t aBytes)
{
  ++current_.sends_;
  current_.bytes_ += aBytes;
}

std::optional<LoopDelayReport>
LoopMonitor::OnTick(int64_t aNowMs, int64_t aCpuMs)
{
  LoopDelayReport report = std::exchange(current_, {});
  const int64_t elapsedMs = aNowMs - lastTickMs_.value_or(aNowMs);
  report.delayMs_ = std::max<int64_t>(0, elapsedMs - options_.intervalMs_);
  report.cpuMs_ = aCpuMs - lastCpuMs_;
  lastTickMs_ = aNowMs;
  lastCpuMs_ = aCpuMs;
  lastDelayMs_ = report.delayMs_;
  if (report.delayMs_ < options_.thresholdMs_) {
    return std::nullopt;
  }
  if (lastReportMs_ && aNowMs - *lastReportMs_ < kReportIntervalMs) {
    ++suppressed_;
    return std::nullopt;
  }
  lastReportMs_ = aNowMs;
  report.suppressed_ = std::exchange(suppressed_, 0);
  return report;
}

std::string
Describe(const LoopDelayReport& aReport)
{
  std::string text = model::Concat("stood_ms=",
                                   aReport.delayMs_,
                                   " processor_ms=",
                                   aReport.cpuMs_,
                                   " sends=",
                                   aReport.sends_,
                                   " bytes=",
                                   aReport.bytes_,
                                   " suppressed=",
                                   aReport.suppressed_);
  for (const auto& [kind, count] : aReport.messagesByKind_) {
    model::AppendTo(text, " ", kind, "=", count);
  }
  return text;
}

} // namespace cactuswick::control

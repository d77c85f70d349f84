#include "process/PrefillReporter.h"

#include <algorithm>
#include <utility>

namespace cactuswick::router {

namespace {

/// Reports per sum: what a sum says is younger if reports come more often.
constexpr int64_t kReportsPerSum = 5;
/// Ticks may come this much early.
constexpr int64_t kTickToleranceMs = 5;
/// Bounds an interval that another release may tell.
constexpr int64_t kMaxIntervalMs = 60'000;

} // namespace

PrefillReporter::PrefillReporter(PrefillReporterOptions aOptions)
  : options_(std::move(aOptions))
  , sumIntervalMs_(options_.intervalMs_)
{
}

void
PrefillReporter::OnTick(int64_t aNowMs)
{
  if (options_.intervalMs_ == 0 || aNowMs - lastReportMs_ + kTickToleranceMs <
                                     sumIntervalMs_ / kReportsPerSum) {
    return;
  }
  lastReportMs_ = aNowMs;
  auto report = routing::BusiestOf(options_.endpoints_.OwnPrefill(),
                                   routing::kMaxReportedEngines);
  options_.endpoints_.OthersPrefill().OnReported(report);
  const bool isBusy = !report.endpoints_.empty();
  // An empty report withdraws the last one; more would say nothing.
  if (std::exchange(wasBusy_, isBusy) || isBusy) {
    options_.send_(transport::Gossip{ .from_ = options_.self_(),
                                      .prefill_ = std::move(report) });
  }
}

void
PrefillReporter::OnGossip(const transport::Gossip& aGossip, int64_t aNowMs)
{
  if (options_.intervalMs_ == 0 || !aGossip.prefill_) {
    return;
  }
  sumIntervalMs_ = std::clamp(
    aGossip.prefill_->intervalMs_, options_.intervalMs_, kMaxIntervalMs);
  options_.endpoints_.OthersPrefill().OnSum(*aGossip.prefill_, aNowMs);
}

} // namespace cactuswick::router

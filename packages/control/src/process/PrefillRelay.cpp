#include "process/PrefillRelay.h"

#include <algorithm>
#include <utility>

#include "cactuswick/telemetry/process/Log.h"

namespace cactuswick::control {

namespace {

using model::Concat;
using telemetry::Level;
using telemetry::Log;
using telemetry::Part;

/// Intervals after which the report of a silent router is forgotten.
constexpr int64_t kReportIntervals = 4;
constexpr int64_t kLogIntervalMs = 10'000;
constexpr int64_t kMsPerSecond = 1'000;

} // namespace

PrefillRelay::PrefillRelay(PrefillRelayOptions aOptions)
  : options_(std::move(aOptions))
  , currentIntervalMs_(options_.intervalMs_)
{
}

void
PrefillRelay::OnGossip(const transport::Gossip& aGossip, int64_t aNowMs)
{
  if (aGossip.prefill_ && options_.intervalMs_ > 0) {
    sum_.OnReport(aGossip.from_, *aGossip.prefill_, aNowMs);
  }
}

void
PrefillRelay::OnTick(bool aIsLeader, int64_t aNowMs)
{
  if (!aIsLeader || options_.intervalMs_ == 0) {
    sum_.Clear();
    busiestTokens_ = 0;
    wasBusy_ = false;
    return;
  }
  if (aNowMs - lastSumMs_ >= currentIntervalMs_) {
    lastSumMs_ = aNowMs;
    SendSum(aNowMs);
  }
}

void
PrefillRelay::SendSum(int64_t aNowMs)
{
  sum_.Expire(kReportIntervals * currentIntervalMs_, aNowMs);
  auto busiest = routing::BusiestOf(sum_.Total(), routing::kMaxSummedEngines);
  const std::string first =
    busiest.endpoints_.empty() ? "" : busiest.endpoints_.front();
  busiestTokens_ = busiest.tokens_.empty() ? 0 : busiest.tokens_.front();
  const bool isBusy = !first.empty();
  // Silence is enough while nothing is pending anywhere, after one empty sum.
  if (!isBusy && !std::exchange(wasBusy_, isBusy)) {
    return;
  }
  wasBusy_ = isBusy;
  busiest.intervalMs_ = currentIntervalMs_;
  const transport::EncodedMessage message(
    transport::Gossip{ .prefill_ = std::move(busiest) });
  options_.sendToRouters_(message);
  const auto bytes = static_cast<int64_t>(message.Bytes().size());
  const auto routers = static_cast<int64_t>(options_.routers_());
  currentIntervalMs_ =
    std::max(options_.intervalMs_,
             bytes * routers * kMsPerSecond / options_.maxBytesPerS_);
  LogSum(first, message.Bytes().size(), aNowMs);
}

void
PrefillRelay::LogSum(const std::string& aBusiest, size_t aBytes, int64_t aNowMs)
{
  if (aNowMs - lastLogMs_ < kLogIntervalMs) {
    return;
  }
  lastLogMs_ = aNowMs;
  Log(Part::kControl,
      Level::kInfo,
      Concat("pending prefill busiest=",
             aBusiest,
             " tokens=",
             busiestTokens_,
             " routers=",
             sum_.Routers(),
             " interval_ms=",
             currentIntervalMs_,
             " bytes=",
             aBytes));
}

} // namespace cactuswick::control

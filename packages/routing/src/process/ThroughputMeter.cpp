#include "cactuswick/routing/process/ThroughputMeter.h"

namespace cactuswick::routing {

namespace {

constexpr int64_t kWindowMs = 1'000;
/// Weight of the newest window in the moving average.
constexpr double kNewestWeight = 0.3;

} // namespace

void
ThroughputMeter::Add(ledger::Tokens aTokens, int64_t aNowMs)
{
  if (windowStartMs_ == 0) {
    windowStartMs_ = aNowMs;
  }
  const int64_t elapsed = aNowMs - windowStartMs_;
  if (elapsed >= kWindowMs) {
    const double rate =
      static_cast<double>(windowTokens_) / static_cast<double>(elapsed);
    tokensPerMs_ = tokensPerMs_ == 0 ? rate
                                     : (1 - kNewestWeight) * tokensPerMs_ +
                                         kNewestWeight * rate;
    windowStartMs_ = aNowMs;
    windowTokens_ = 0;
  }
  windowTokens_ += aTokens;
}

int64_t
ThroughputMeter::ExpectedWaitMs(ledger::Tokens aTokens) const
{
  if (tokensPerMs_ <= 0) {
    return 0;
  }
  return static_cast<int64_t>(static_cast<double>(aTokens) / tokensPerMs_);
}

} // namespace cactuswick::routing

#pragma once

#include <cstdint>

#include "cactuswick/ledger/request/RouterOp.h"

namespace cactuswick::routing {

/// Moving average of the rate at which tokens are served, for estimates of the
/// queueing time.
class ThroughputMeter
{
public:
  /// Counts tokens that were served.
  void Add(ledger::Tokens aTokens, int64_t aNowMs);

  /// Returns the expected wait behind @p aTokens queued tokens, in
  /// milliseconds; 0 before the first measurement.
  int64_t ExpectedWaitMs(ledger::Tokens aTokens) const;

private:
  double tokensPerMs_ = 0;
  int64_t windowStartMs_ = 0;
  ledger::Tokens windowTokens_ = 0;
};

} // namespace cactuswick::routing

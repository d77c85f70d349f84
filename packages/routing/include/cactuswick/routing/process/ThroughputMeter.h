#pragma once

#include <cstdint>

#include "cactuswick/ledger/request/RouterOp.h"

namespace cactuswick::routing {

/// Recent rate at which tokens are served, for estimates of waiting time.
class ThroughputMeter
{
public:
  void Add(ledger::Tokens aTokens, int64_t aNowMs);

  /// Expected wait behind @p aTokens queued tokens, in milliseconds; 0 while
  /// nothing is known.
  int64_t ExpectedWaitMs(ledger::Tokens aTokens) const;

private:
  double tokensPerMs_ = 0;
  int64_t windowStartMs_ = 0;
  ledger::Tokens inWindow_ = 0;
};

} // namespace cactuswick::routing

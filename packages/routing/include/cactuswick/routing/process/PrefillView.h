#pragma once

#include <cstdint>
#include <string>

#include "cactuswick/routing/process/PrefillSum.h"

namespace cactuswick::routing {

/// Time over which what other routers placed at engines loses its weight.
inline constexpr int64_t kPrefillViewMs = 2'500;

/// What one router knows of the prompt tokens that other routers placed at
/// engines: the sum of the leader without this router's own report.
class PrefillView
{
public:
  /// Records what this router has reported.
  void OnReported(const model::PendingPrefill& aOwn);
  /// Takes in the sum over all routers.
  void OnSum(const model::PendingPrefill& aSum, int64_t aNowMs);

  /// Whether a sum has come within @c kPrefillViewMs.
  bool IsFresh(int64_t aNowMs) const;
  /// Returns the tokens of other routers at an endpoint. They count less with
  /// the age of the view, and not at all when it is not fresh.
  ledger::Tokens OthersAt(const std::string& aEndpoint, int64_t aNowMs) const;
  /// Returns the largest sum of an endpoint; 0 if the view is not fresh.
  ledger::Tokens Busiest(int64_t aNowMs) const;
  /// Milliseconds since the last sum; -1 before the first one.
  int64_t AgeMs(int64_t aNowMs) const;

private:
  PrefillByEndpoint own_;
  PrefillByEndpoint others_;
  ledger::Tokens busiest_ = 0;
  int64_t receivedMs_ = -1;
};

} // namespace cactuswick::routing

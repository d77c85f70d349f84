#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "cactuswick/ledger/request/RouterOp.h"
#include "cactuswick/model/version/PendingPrefill.h"

namespace cactuswick::routing {

/// Engines that a router's report lists: those with most pending tokens.
inline constexpr size_t kMaxReportedEngines = 32;
/// Engines that the sum over all routers lists.
inline constexpr size_t kMaxSummedEngines = 48;

/// Pending prompt tokens by endpoint.
using PrefillByEndpoint = std::map<std::string, ledger::Tokens>;

/// Returns the @p aLimit endpoints with the most pending tokens, the busiest
/// first. Pure.
model::PendingPrefill
BusiestOf(const PrefillByEndpoint& aPending, size_t aLimit);

/// Returns the pending tokens of a report by endpoint; entries without a
/// counterpart, with a negative number or beyond kMaxSummedEngines are ignored.
/// Pure.
PrefillByEndpoint
ByEndpoint(const model::PendingPrefill& aReport);

/// Prompt tokens that are pending at engines, summed over the last reports of
/// all routers. Soft state: it begins empty, and a router that is silent is
/// forgotten.
class PrefillSum
{
public:
  /// Replaces the report of a router, also by one of no endpoint.
  void OnReport(ledger::Incarnation aRouter,
                const model::PendingPrefill& aReport,
                int64_t aNowMs);
  /// Forgets the reports that are older than @p aMaxAgeMs.
  void Expire(int64_t aMaxAgeMs, int64_t aNowMs);
  PrefillByEndpoint Total() const;
  /// Routers that have reported lately, also those with nothing pending.
  size_t Routers() const { return reports_.size(); }
  void Clear() { reports_.clear(); }

private:
  struct Report
  {
    PrefillByEndpoint pending_;
    int64_t receivedMs_ = 0;
  };

  std::map<ledger::Incarnation, Report> reports_;
};

} // namespace cactuswick::routing

#include "cactuswick/routing/process/PrefillSum.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace cactuswick::routing {

namespace {

/// Larger numbers of a faulty peer count as this many, so that sums don't
/// overflow.
constexpr ledger::Tokens kMaxPendingTokens = 1'000'000'000'000;

} // namespace

model::PendingPrefill
BusiestOf(const PrefillByEndpoint& aPending, size_t aLimit)
{
  std::vector<std::pair<ledger::Tokens, std::string>> busiest;
  busiest.reserve(aPending.size());
  for (const auto& [endpoint, tokens] : aPending) {
    if (tokens > 0) {
      busiest.emplace_back(tokens, endpoint);
    }
  }
  const size_t count = std::min(aLimit, busiest.size());
  std::partial_sort(busiest.begin(),
                    busiest.begin() + static_cast<std::ptrdiff_t>(count),
                    busiest.end(),
                    std::greater<>());
  model::PendingPrefill result;
  for (size_t i = 0; i < count; ++i) {
    result.endpoints_.push_back(std::move(busiest[i].second));
    result.tokens_.push_back(busiest[i].first);
  }
  return result;
}

PrefillByEndpoint
ByEndpoint(const model::PendingPrefill& aReport)
{
  PrefillByEndpoint pending;
  const size_t count = std::min(
    { aReport.endpoints_.size(), aReport.tokens_.size(), kMaxSummedEngines });
  for (size_t i = 0; i < count; ++i) {
    if (aReport.tokens_[i] > 0) {
      pending[aReport.endpoints_[i]] =
        std::min(aReport.tokens_[i], kMaxPendingTokens);
    }
  }
  return pending;
}

void
PrefillSum::OnReport(ledger::Incarnation aRouter,
                     const model::PendingPrefill& aReport,
                     int64_t aNowMs)
{
  reports_[aRouter] = { .pending_ = ByEndpoint(aReport),
                        .receivedMs_ = aNowMs };
}

void
PrefillSum::Expire(int64_t aMaxAgeMs, int64_t aNowMs)
{
  std::erase_if(reports_, [&](const auto& aPair) {
    return aNowMs - aPair.second.receivedMs_ > aMaxAgeMs;
  });
}

PrefillByEndpoint
PrefillSum::Total() const
{
  PrefillByEndpoint total;
  for (const auto& [router, report] : reports_) {
    for (const auto& [endpoint, tokens] : report.pending_) {
      total[endpoint] += tokens;
    }
  }
  return total;
}

} // namespace cactuswick::routing

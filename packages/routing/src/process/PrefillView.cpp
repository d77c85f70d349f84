#include "cactuswick/routing/process/PrefillView.h"

#include <algorithm>

namespace cactuswick::routing {

void
PrefillView::OnReported(const model::PendingPrefill& aOwn)
{
  own_ = ByEndpoint(aOwn);
}

void
PrefillView::OnSum(const model::PendingPrefill& aSum, int64_t aNowMs)
{
  others_ = ByEndpoint(aSum);
  busiest_ = 0;
  for (auto& [endpoint, tokens] : others_) {
    busiest_ = std::max(busiest_, tokens);
    const auto own = own_.find(endpoint);
    if (own != own_.end()) {
      tokens = std::max(ledger::Tokens{ 0 }, tokens - own->second);
    }
  }
  receivedMs_ = aNowMs;
}

bool
PrefillView::IsFresh(int64_t aNowMs) const
{
  return receivedMs_ >= 0 && aNowMs - receivedMs_ <= kPrefillViewMs;
}

ledger::Tokens
PrefillView::OthersAt(const std::string& aEndpoint, int64_t aNowMs) const
{
  const auto found = others_.find(aEndpoint);
  if (found == others_.end() || !IsFresh(aNowMs)) {
    return 0;
  }
  return found->second * (kPrefillViewMs - AgeMs(aNowMs)) / kPrefillViewMs;
}

ledger::Tokens
PrefillView::Busiest(int64_t aNowMs) const
{
  return IsFresh(aNowMs) ? busiest_ : 0;
}

int64_t
PrefillView::AgeMs(int64_t aNowMs) const
{
  return receivedMs_ < 0 ? -1 : aNowMs - receivedMs_;
}

} // namespace cactuswick::routing

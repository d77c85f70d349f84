#include "cactuswick/routing/process/TunnelChoice.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cactuswick::routing {

namespace {

/// Time for which a router that has opened a tunnel is preferred.
constexpr int64_t kProvenMs = 5'000;
/// Time for which a router that has failed is not asked; doubles each time.
constexpr int64_t kAvoidMs = 500;
constexpr int64_t kMaxAvoidFailures = 4;
/// Routers over which the load is spread, if so many open tunnels.
constexpr size_t kWantedRouters = 4;
/// While fewer are known, one of so many requests asks a router that has not
/// opened a tunnel yet.
constexpr int kExploreInterval = 4;

} // namespace

TunnelChoice::TunnelChoice(TunnelChoiceOptions aOptions)
  : options_(std::move(aOptions))
  , random_(options_.seed_)
{
}

void
TunnelChoice::SetRouters(std::vector<TunnelRouter> aRouters)
{
  routers_ = std::move(aRouters);
  std::erase_if(experiences_, [&](const auto& aPair) {
    return std::none_of(
      routers_.begin(), routers_.end(), [&](const TunnelRouter& aRouter) {
        return aRouter.address_ == aPair.first;
      });
  });
}

int64_t
TunnelChoice::DistanceOf(const TunnelRouter& aRouter) const
{
  if (aRouter.region_ != options_.region_) {
    return 2;
  }
  return aRouter.failureDomain_ == options_.failureDomain_ ? 1 : 0;
}

bool
TunnelChoice::IsProven(const std::string& aAddress, int64_t aNowMs) const
{
  const auto found = experiences_.find(aAddress);
  return found != experiences_.end() && aNowMs < found->second.provenUntilMs_;
}

bool
TunnelChoice::IsAvoided(const std::string& aAddress, int64_t aNowMs) const
{
  const auto found = experiences_.find(aAddress);
  return found != experiences_.end() && aNowMs < found->second.avoidedUntilMs_;
}

std::optional<std::string>
TunnelChoice::Choose(const std::vector<std::string>& aTried, int64_t aNowMs)
{
  std::vector<const TunnelRouter*> proven;
  std::vector<const TunnelRouter*> others;
  for (const auto& router : routers_) {
    const bool isTried =
      std::find(aTried.begin(), aTried.end(), router.address_) != aTried.end();
    if (!isTried && !IsAvoided(router.address_, aNowMs)) {
      (IsProven(router.address_, aNowMs) ? proven : others).push_back(&router);
    }
  }
  const auto nearest = std::min_element(
    others.begin(), others.end(), [&](const auto* aLeft, const auto* aRight) {
      return DistanceOf(*aLeft) < DistanceOf(*aRight);
    });
  if (nearest != others.end()) {
    const int64_t distance = DistanceOf(**nearest);
    std::erase_if(others, [&](const TunnelRouter* aRouter) {
      return DistanceOf(*aRouter) != distance;
    });
  }
  const bool explores =
    proven.empty() ||
    (proven.size() < kWantedRouters && !others.empty() &&
     std::uniform_int_distribution<int>(1, kExploreInterval)(random_) == 1);
  const auto& candidates = explores ? others : proven;
  if (candidates.empty()) {
    return NextDue(aTried);
  }
  std::uniform_int_distribution<size_t> draw(0, candidates.size() - 1);
  return candidates[draw(random_)]->address_;
}

std::optional<std::string>
TunnelChoice::NextDue(const std::vector<std::string>& aTried) const
{
  std::optional<std::string> next;
  int64_t dueMs = 0;
  for (const auto& [address, experience] : experiences_) {
    const bool isTried =
      std::find(aTried.begin(), aTried.end(), address) != aTried.end();
    if (!isTried && (!next || experience.avoidedUntilMs_ < dueMs)) {
      next = address;
      dueMs = experience.avoidedUntilMs_;
    }
  }
  return next;
}

void
TunnelChoice::OnOpened(const std::string& aAddress, int64_t aNowMs)
{
  experiences_[aAddress] = { .provenUntilMs_ = aNowMs + kProvenMs };
}

void
TunnelChoice::OnFailed(const std::string& aAddress, int64_t aNowMs)
{
  Experience& experience = experiences_[aAddress];
  // Requests that were under way together fail together.
  if (aNowMs < experience.avoidedUntilMs_) {
    return;
  }
  experience.provenUntilMs_ = 0;
  experience.avoidedUntilMs_ = aNowMs + (kAvoidMs << experience.failures_);
  experience.failures_ = std::min(kMaxAvoidFailures, experience.failures_ + 1);
}

} // namespace cactuswick::routing

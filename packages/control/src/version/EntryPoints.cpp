#include "version/EntryPoints.h"

#include <algorithm>

namespace cactuswick::control {

std::vector<std::string>
EntryPointAddresses(const EntryPointsInput& aInput)
{
  std::vector<const ledger::RouterRecord*> serving;
  std::vector<const ledger::RouterRecord*> connected;
  for (const auto& [incarnation, router] : aInput.routers_) {
    if (router.state_ != ledger::RouterState::kServing) {
      continue;
    }
    serving.push_back(&router);
    if (aInput.connected_ && aInput.connected_->contains(incarnation)) {
      connected.push_back(&router);
    }
  }
  const bool mostConnected = 2 * connected.size() >= serving.size();
  auto& chosen = mostConnected && !connected.empty() ? connected : serving;
  std::stable_partition(chosen.begin(), chosen.end(), [&](const auto* aOne) {
    return aOne->failureDomain_ == aInput.failureDomain_;
  });
  std::vector<std::string> addresses;
  for (const auto* router : chosen) {
    if (addresses.size() < kMaxEntryPoints) {
      addresses.push_back(router->address_);
    }
  }
  return addresses;
}

} // namespace cactuswick::control

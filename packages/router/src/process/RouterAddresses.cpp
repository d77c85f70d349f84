#include "process/RouterAddresses.h"

namespace cactuswick::router {

std::string
CallersAddressOf(const settings::Settings& aSettings)
{
  const std::string forwarding = aSettings.Get(settings::kForwardListen);
  return forwarding.empty() ? aSettings.Get(settings::kRouterListen)
                            : forwarding;
}

std::string
PeerAddressOf(const settings::Settings& aSettings)
{
  const std::string advertised = aSettings.Get(settings::kRouterPeerAdvertise);
  return advertised.empty() ? aSettings.Get(settings::kRouterPeerListen)
                            : advertised;
}

} // namespace cactuswick::router

#include "connection/CallerLimits.h"

namespace cactuswick::router {

transport::HttpLimits
HttpLimitsOf(const settings::Settings& aSettings, transport::HttpLimits aLimits)
{
  aLimits.headTimeoutMs_ = aSettings.Get(settings::kHeadTimeoutMs);
  aLimits.bodyTimeoutMs_ = aSettings.Get(settings::kBodyTimeoutMs);
  return aLimits;
}

} // namespace cactuswick::router

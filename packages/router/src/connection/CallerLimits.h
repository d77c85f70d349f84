#pragma once

#include "cactuswick/settings/process/Settings.h"
#include "cactuswick/transport/connection/HttpServer.h"

namespace cactuswick::router {

/// Returns @p aLimits with the times within which callers have to send heads
/// and bodies, as the settings define them.
transport::HttpLimits
HttpLimitsOf(const settings::Settings& aSettings,
             transport::HttpLimits aLimits = {});

} // namespace cactuswick::router

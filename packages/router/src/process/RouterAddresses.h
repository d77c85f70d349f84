#pragma once

#include <string>

#include "cactuswick/settings/process/Settings.h"

namespace cactuswick::router {

/// Returns the address to which callers connect.
std::string
CallersAddressOf(const settings::Settings& aSettings);

/// Returns the address to which other routers connect.
std::string
PeerAddressOf(const settings::Settings& aSettings);

} // namespace cactuswick::router

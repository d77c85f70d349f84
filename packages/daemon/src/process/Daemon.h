#pragma once

#include <absl/status/status.h>

#include "cactuswick/settings/process/Settings.h"

/// The cactuswickd program.
namespace cactuswick::daemon {

/// Runs the roles of @p aSettings until a signal has stopped them all.
///
/// SIGTERM and SIGINT drain; a second one stops at once.
absl::Status
RunDaemon(const settings::Settings& aSettings);

} // namespace cactuswick::daemon

#pragma once

#include <absl/status/status.h>

#include "cactuswick/settings/process/Settings.h"

/// The cactuswickd program.
namespace cactuswick::daemon {

/// Runs the roles of @p aSettings until a signal has stopped them all.
///
/// The file at @p aPath is read again when it changes or SIGHUP comes. Then
/// addresses of other processes are taken from it; all else needs a restart.
/// SIGTERM and SIGINT drain; a second one stops at once.
absl::Status
RunDaemon(const settings::Settings& aSettings, const std::string& aPath);

} // namespace cactuswick::daemon

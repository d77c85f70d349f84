#pragma once

#include <absl/status/status.h>

#include "cactuswick/settings/process/Settings.h"

/// The cactuswickd program.
namespace cactuswick::daemon {

/// Runs the roles of @p aSettings until they have stopped.
///
/// Rereads the file at @p aPath on SIGHUP and every second, and applies what
/// differs from the text of @p aSettings or of the last reading. Only addresses
/// of other processes are reloaded; all other settings need a restart. Calls
/// DeliverHangup once it handles SIGHUP and HoldHangup when it returns.
/// SIGTERM and SIGINT drain; a second one stops at once.
absl::Status
RunDaemon(const settings::Settings& aSettings, const std::string& aPath);

} // namespace cactuswick::daemon

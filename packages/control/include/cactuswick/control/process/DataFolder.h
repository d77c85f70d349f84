#pragma once

#include <string>

#include <absl/status/status.h>

#include "cactuswick/settings/process/Settings.h"

/// The control role: replicated log, ledger and their service.
namespace cactuswick::control {

/// Makes the data folder of a replica of the first quorum. @p aGeneration
/// names this first start of the whole deployment and is the same at all
/// replicas; it must never be used again.
absl::Status
BootstrapDataFolder(const settings::Settings& aSettings,
                    const std::string& aGeneration);

/// Makes the data folder of a replica that waits to be added.
absl::Status
JoinDataFolder(const settings::Settings& aSettings);

} // namespace cactuswick::control

#pragma once

#include <string>
#include <vector>

#include <absl/status/status.h>

#include "cactuswick/settings/process/Settings.h"
#include "cactuswick/transport/process/Address.h"

/// The control role: replicated log, ledger and their service.
namespace cactuswick::control {

/// Makes the data folder of a replica of the first quorum. @p aGeneration
/// names this first start of the whole deployment and is the same at all
/// replicas; it must never be used again.
absl::Status
BootstrapDataFolder(const settings::Settings& aSettings,
                    const std::string& aGeneration);

/// Addresses at which the replicas on the seed VMs listen: the seeds' hosts
/// with the port of this replica's own listener.
std::vector<transport::Address>
SeedAddresses(const settings::Settings& aSettings);

/// Makes the data folder if there is none and the settings name seeds: of a
/// founder, if the whole deployment starts for the first time and this VM is
/// a seed, else of a replica that waits to be added.
absl::Status
EnsureDataFolder(const settings::Settings& aSettings);

/// Makes the data folder of a replica that waits to be added.
absl::Status
CreateJoiningDataFolder(const settings::Settings& aSettings);

} // namespace cactuswick::control

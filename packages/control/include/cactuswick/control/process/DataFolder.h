#pragma once

#include <string>
#include <vector>

#include <absl/status/status.h>

#include "cactuswick/settings/process/Settings.h"
#include "cactuswick/transport/process/Address.h"

/// The control role: the replicated log, the ledger and the service on them.
namespace cactuswick::control {

/// Creates the data folder of a replica of the initial quorum. @p aGeneration
/// identifies this first start of the whole deployment; it is the same on all
/// initial replicas and must never be reused.
absl::Status
BootstrapDataFolder(const settings::Settings& aSettings,
                    const std::string& aGeneration);

/// Returns the addresses of the replicas on the seed VMs: the seeds' hosts with
/// the port of this replica's own listener.
std::vector<transport::Address>
SeedAddresses(const settings::Settings& aSettings);

/// Creates the data folder if there is none and the settings name seeds. The
/// replica is a founding member if the whole deployment starts for the first
/// time and this VM is a seed; otherwise it waits to be added.
absl::Status
EnsureDataFolder(const settings::Settings& aSettings);

/// Creates the data folder of a replica that waits to be added.
absl::Status
CreateJoiningDataFolder(const settings::Settings& aSettings);

} // namespace cactuswick::control

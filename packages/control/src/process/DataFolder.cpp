#include "cactuswick/control/process/DataFolder.h"

#include <algorithm>

#include "cactuswick/ledger/process/LogStore.h"
#include "cactuswick/model/process/Error.h"
#include "cactuswick/model/process/Hash.h"
#include "cactuswick/model/process/Text.h"

namespace cactuswick::control {

namespace {

/// Generation of the founding replicas of a deployment that starts from seeds.
constexpr std::string_view kFounder = "founder";

std::string
IdOf(std::string_view aVm, std::string_view aGeneration)
{
  return model::Concat(aVm, "/", aGeneration);
}

} // namespace

absl::Status
BootstrapDataFolder(const settings::Settings& aSettings,
                    const std::string& aGeneration)
{
  auto valid = model::ValidateName("bootstrap", aGeneration);
  if (!valid.ok()) {
    return valid;
  }
  const std::string vm = aSettings.Get(settings::kVm);
  ledger::Identity identity{ .id_ = IdOf(vm, aGeneration) };
  bool listed = false;
  for (const auto& replica : aSettings.GetReplicas()) {
    identity.members_.push_back({ IdOf(replica.vm_, aGeneration),
                                  replica.address_.ToString(),
                                  replica.failureDomain_,
                                  true });
    listed = listed || replica.vm_ == vm;
  }
  if (!listed) {
    return model::MakeError(model::ErrorKind::kMalformed,
                            "[control] replicas",
                            "expected this VM among the replicas");
  }
  return ledger::LogStore::Format(aSettings.Get(settings::kControlDataDir),
                                  identity);
}

absl::Status
CreateJoiningDataFolder(const settings::Settings& aSettings)
{
  const std::string vm = aSettings.Get(settings::kVm);
  const ledger::Identity identity{ .id_ = IdOf(vm, model::RandomHex()) };
  return ledger::LogStore::Format(aSettings.Get(settings::kControlDataDir),
                                  identity);
}

std::vector<transport::Address>
SeedAddresses(const settings::Settings& aSettings)
{
  const auto listen = aSettings.GetAddress(settings::kControlListen);
  std::vector<transport::Address> addresses;
  for (const auto& seed : aSettings.GetAddresses(settings::kControlSeeds)) {
    addresses.push_back({ seed.host_, listen.port_ });
  }
  return addresses;
}

absl::Status
EnsureDataFolder(const settings::Settings& aSettings)
{
  const std::string directory = aSettings.Get(settings::kControlDataDir);
  const auto seeds = SeedAddresses(aSettings);
  if (seeds.empty() || ledger::LogStore::IsFormatted(directory)) {
    return absl::OkStatus();
  }
  const auto self = aSettings.GetAddress(settings::kControlListen);
  const bool isSeed =
    std::find(seeds.begin(), seeds.end(), self) != seeds.end();
  if (aSettings.Get(settings::kControlBootstrap) != "true" || !isSeed) {
    return CreateJoiningDataFolder(aSettings);
  }
  ledger::Identity identity{ .id_ = IdOf(self.host_, kFounder) };
  for (const auto& seed : seeds) {
    identity.members_.push_back(
      { IdOf(seed.host_, kFounder), seed.ToString(), "", true });
  }
  return ledger::LogStore::Format(directory, identity);
}

} // namespace cactuswick::control

#include "cactuswick/control/process/DataFolder.h"

#include "cactuswick/ledger/process/LogStore.h"
#include "cactuswick/model/process/Error.h"
#include "cactuswick/model/process/Hash.h"
#include "cactuswick/model/process/Text.h"

namespace cactuswick::control {

namespace {

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
JoinDataFolder(const settings::Settings& aSettings)
{
  const std::string vm = aSettings.Get(settings::kVm);
  const ledger::Identity identity{ .id_ = IdOf(vm, model::RandomHex()) };
  return ledger::LogStore::Format(aSettings.Get(settings::kControlDataDir),
                                  identity);
}

} // namespace cactuswick::control

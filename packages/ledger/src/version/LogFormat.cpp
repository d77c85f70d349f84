#include "cactuswick/ledger/version/LogFormat.h"

namespace cactuswick::ledger {

namespace {

constexpr int64_t kEvacuationFormat = 1;
constexpr int64_t kSoftwareVersionFormat = 2;

} // namespace

int64_t
FormatOf(const Command& aCommand)
{
  const bool evacuation = std::holds_alternative<StartEvacuation>(aCommand) ||
                          std::holds_alternative<FinishEvacuation>(aCommand);
  const bool softwareVersion =
    std::holds_alternative<AdmitVersion>(aCommand) ||
    std::holds_alternative<WithdrawVersion>(aCommand);
  if (softwareVersion) {
    return kSoftwareVersionFormat;
  }
  return evacuation ? kEvacuationFormat : 0;
}

} // namespace cactuswick::ledger

#include "version/EntrySize.h"

namespace cactuswick::ledger {

size_t
DocumentBytes(const Entry& aEntry)
{
  const auto* change = std::get_if<ReplaceDeployment>(&aEntry.command_);
  return change == nullptr ? 0 : change->document_.bytes_.size();
}

} // namespace cactuswick::ledger

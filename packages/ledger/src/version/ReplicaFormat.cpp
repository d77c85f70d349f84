// Replica: log formats of the members while they are updated.

#include "cactuswick/ledger/version/Replica.h"

namespace cactuswick::ledger {

std::vector<std::string>
Replica::MembersUnableToRead(int64_t aFormat) const
{
  std::vector<std::string> below;
  for (const auto& [id, peer] : peers_) {
    // A member that has not replied to this leader within an election timeout
    // counts as updated, so that a lost VM does not prevent changes. If it
    // returns with the earlier release, it cannot follow until it is updated.
    const bool mayRespond = nowMs_ - peer.addedMs_ < options_.electionMaxMs_;
    const int64_t unknown = mayRespond ? 0 : options_.format_;
    if (peer.format_.value_or(unknown) < aFormat) {
      below.push_back(id);
    }
  }
  return below;
}

} // namespace cactuswick::ledger

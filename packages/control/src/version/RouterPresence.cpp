#include "version/RouterPresence.h"

#include <utility>

namespace cactuswick::control {

void
RouterPresence::OnLeadership(bool aLeads, int64_t aNowMs)
{
  leads_ = aLeads;
  leadsSinceMs_ = aNowMs;
}

void
RouterPresence::OnHeard(std::vector<ledger::Incarnation> aConnected,
                        int64_t aNowMs)
{
  heard_ = std::move(aConnected);
  heardMs_ = aNowMs;
}

bool
RouterPresence::MaySpeak(int64_t aNowMs) const
{
  return leads_ && aNowMs - leadsSinceMs_ >= kPresenceValidMs;
}

std::optional<std::set<ledger::Incarnation>>
RouterPresence::Connected(const std::vector<ledger::Incarnation>& aOwn,
                          int64_t aNowMs) const
{
  if (MaySpeak(aNowMs)) {
    return std::set(aOwn.begin(), aOwn.end());
  }
  if (aNowMs - heardMs_ <= kPresenceValidMs) {
    return std::set(heard_.begin(), heard_.end());
  }
  return std::nullopt;
}

} // namespace cactuswick::control

#include "version/RouterPresence.h"

#include <utility>

namespace cactuswick::control {

void
RouterPresence::OnLeadershipChange(bool aIsLeader, int64_t aNowMs)
{
  isLeader_ = aIsLeader;
  leaderSinceMs_ = aNowMs;
}

void
RouterPresence::OnLeaderReport(std::vector<ledger::Incarnation> aConnected,
                               int64_t aNowMs)
{
  reported_ = std::move(aConnected);
  reportedMs_ = aNowMs;
}

bool
RouterPresence::IsAuthoritative(int64_t aNowMs) const
{
  return isLeader_ && aNowMs - leaderSinceMs_ >= kPresenceValidMs;
}

std::optional<std::set<ledger::Incarnation>>
RouterPresence::Connected(const std::vector<ledger::Incarnation>& aOwn,
                          int64_t aNowMs) const
{
  if (IsAuthoritative(aNowMs)) {
    return std::set(aOwn.begin(), aOwn.end());
  }
  if (aNowMs - reportedMs_ <= kPresenceValidMs) {
    return std::set(reported_.begin(), reported_.end());
  }
  return std::nullopt;
}

} // namespace cactuswick::control

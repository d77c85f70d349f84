#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "cactuswick/ledger/version/Records.h"

namespace cactuswick::control {

/// A leader's word on connected routers counts for this long; a new leader
/// waits as long before it has one.
inline constexpr int64_t kPresenceValidMs = 2'500;

/// Which routers are connected to the leader, as this replica knows it.
class RouterPresence
{
public:
  /// This replica has begun or ended to lead.
  void OnLeadershipChange(bool aIsLeader, int64_t aNowMs);
  /// Takes the leader's word.
  void OnLeaderReport(std::vector<ledger::Incarnation> aConnected,
                      int64_t aNowMs);

  /// Whether this replica may say which routers are connected: it leads, and
  /// routers have had the time to come over from the last leader.
  bool IsAuthoritative(int64_t aNowMs) const;
  /// Routers that are connected to the leader, if that is known; @p aOwn are
  /// connected to this replica.
  std::optional<std::set<ledger::Incarnation>> Connected(
    const std::vector<ledger::Incarnation>& aOwn,
    int64_t aNowMs) const;

private:
  bool isLeader_ = false;
  int64_t leaderSinceMs_ = 0;
  std::vector<ledger::Incarnation> reported_;
  int64_t reportedMs_ = -kPresenceValidMs;
};

} // namespace cactuswick::control

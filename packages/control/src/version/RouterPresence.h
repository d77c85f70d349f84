#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "cactuswick/ledger/version/Records.h"

namespace cactuswick::control {

/// How long a leader's report of the connected routers stays valid. A new
/// leader makes no report for as long after its election, as routers still
/// reconnect.
inline constexpr int64_t kPresenceValidMs = 2'500;

/// Which routers are connected to the leader, as this replica knows it.
class RouterPresence
{
public:
  /// Called when this replica becomes leader or stops being it.
  void OnLeadershipChange(bool aIsLeader, int64_t aNowMs);
  /// Stores the leader's report of the routers connected to it.
  void OnLeaderReport(std::vector<ledger::Incarnation> aConnected,
                      int64_t aNowMs);

  /// Whether this replica's own connections decide which routers are connected:
  /// it is the leader, and routers have had time to reconnect from the previous
  /// one.
  bool IsAuthoritative(int64_t aNowMs) const;
  /// Returns the routers that are connected to the leader; nullopt when that is
  /// unknown. @p aOwn are the routers connected to this replica.
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

#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cactuswick/ledger/version/Records.h"

namespace cactuswick::control {

/// Largest number of addresses that callers are given.
inline constexpr size_t kMaxEntryPoints = 64;

struct EntryPointsInput
{
  const std::map<ledger::Incarnation, ledger::RouterRecord>& routers_;
  /// Routers that are connected to the leader; nullopt when that is unknown.
  std::optional<std::set<ledger::Incarnation>> connected_;
  /// Failure domain of the caller; routers in it come first.
  std::string failureDomain_;
};

/// Chooses the routers that are offered to callers as entry points.
///
/// Draining routers are left out at once. Disconnected ones are left out only
/// while at least half of the routers are connected: when most are partitioned
/// from control, they are more likely to be serving than dead.
std::vector<std::string>
EntryPointAddresses(const EntryPointsInput& aInput);

} // namespace cactuswick::control

#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cactuswick/ledger/version/Records.h"

namespace cactuswick::control {

/// Most addresses that callers are told of.
inline constexpr size_t kMaxEntryPoints = 64;

struct EntryPointsInput
{
  const std::map<ledger::Incarnation, ledger::RouterRecord>& routers_;
  /// Routers that are connected to the leader; nullopt when not known.
  std::optional<std::set<ledger::Incarnation>> connected_;
  /// Failure domain of the caller; its routers come first.
  std::string failureDomain_;
};

/// Chooses the routers that callers are sent to.
///
/// Routers that drain are left out at once. Silent ones are left out only
/// while most routers are connected: when most are cut off from control, they
/// are more likely to serve on than to be dead.
std::vector<std::string>
EntryPointAddresses(const EntryPointsInput& aInput);

} // namespace cactuswick::control

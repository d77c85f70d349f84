#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cactuswick/ledger/version/Records.h"

/// Distribution of grants over the routers of a fleet. All routers compute the
/// same result from the list of routers, without coordination.
namespace cactuswick::routing {

/// Returns the routers that hold the reserve of a budget, whether or not they
/// serve its callers: a few per failure domain, stable while they are serving.
/// A router that is cut off from control and runs short borrows from them
/// first. Few holders keep each part of the reserve large enough to cover a
/// request, and few borrow requests reach all of it.
std::vector<ledger::Incarnation>
SelectReserveHolders(const std::string& aBudget,
                     const std::vector<ledger::RouterRecord>& aRouters);

/// Returns the share of a budget, in percent, that its reserve holders together
/// keep, for callers of routers that cannot reach control and have no grant
/// left. It grows with the number of routers: the more there are, the fewer
/// requests of a workspace each one sees, and the less its recent use says
/// about what it will need.
double
ReservePercent(int64_t aServingRouters);

/// Returns the interval between a router's usage reports. It grows with the
/// number of routers, so that their reports together take a bounded part of the
/// leader's CPU time.
int64_t
ReportIntervalMs(int64_t aServingRouters);

} // namespace cactuswick::routing

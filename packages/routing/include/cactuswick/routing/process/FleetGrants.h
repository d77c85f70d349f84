#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cactuswick/ledger/version/Records.h"

/// How grants are spread over the routers of a fleet. Every router comes to
/// the same answer from the list of routers alone.
namespace cactuswick::routing {

/// Routers that keep the reserve of a budget, whether or not its callers come
/// to them: a few of each failure domain, the same for as long as they serve.
/// A router that is cut off and short asks them first, so that the reserve is
/// in parts that cover requests, and within reach of a few asks.
std::vector<ledger::Incarnation>
ReserveHoldersOf(const std::string& aBudget,
                 const std::vector<ledger::RouterRecord>& aRouters);

/// Interval between a router's reports of use. Reports of all routers together
/// cost the leader a fixed part of its processor, whatever their number.
int64_t
ReportIntervalMs(int64_t aServingRouters);

} // namespace cactuswick::routing

#pragma once

#include "cactuswick/telemetry/process/Metrics.h"
#include "cactuswick/transport/process/CallerConnections.h"

/// Metrics of callers' connections, the same for all roles.
namespace cactuswick::control {

/// Counts in @p aMetrics each connection or request that is cut or refused;
/// @p aMetrics must outlive the connections.
void
CountCuts(transport::CallerConnections& aCallers, telemetry::Metrics& aMetrics);

/// Sets the gauges of the memory that callers' connections hold.
void
SetHeldGauges(const transport::MemoryBudget& aBudget,
              telemetry::Metrics& aMetrics);

} // namespace cactuswick::control

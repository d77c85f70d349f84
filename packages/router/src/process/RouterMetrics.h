#pragma once

#include <cstdint>

#include "cactuswick/telemetry/process/Metrics.h"
#include "cactuswick/transport/process/MemoryBudget.h"
#include "process/Dispatcher.h"

namespace cactuswick::router {

/// State of a router that its gauges show.
struct RouterGauges
{
  const Dispatcher& dispatcher_;
  const transport::MemoryBudget& callersMemory_;
  int64_t inFlight_ = 0;
  int64_t pendingSettlements_ = 0;
  int64_t configRevision_ = 0;
};

/// Sets the gauges of a router's metrics.
void
SetRouterGauges(telemetry::Metrics& aMetrics, const RouterGauges& aGauges);

} // namespace cactuswick::router

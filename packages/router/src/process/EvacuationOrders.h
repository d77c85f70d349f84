#pragma once

#include <cstdint>

#include "cactuswick/ledger/version/Records.h"
#include "cactuswick/routing/process/Evacuations.h"

namespace cactuswick::router {

/// Returns the evacuations that a change of the configuration puts in force.
/// Only for a change with evacuations. Pure.
routing::Evacuations
EvacuationsIn(const ledger::ConfigDelta& aDelta);

/// Logs which evacuations are in force at this router since a revision.
void
LogEvacuations(const routing::Evacuations& aEvacuations, int64_t aRevision);

} // namespace cactuswick::router

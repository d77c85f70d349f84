#pragma once

#include "cactuswick/check/version/Finding.h"
#include "cactuswick/model/version/Deployment.h"

namespace cactuswick::check {

/// Finds what changes when @p aDeployment replaces @p aInForce, which callers
/// it cuts off, and whether it would take effect at all. Pure.
Findings
CheckAgainst(const model::Deployment& aDeployment,
             const model::Deployment& aInForce);

} // namespace cactuswick::check

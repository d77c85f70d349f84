#pragma once

#include "cactuswick/check/version/Finding.h"
#include "cactuswick/model/version/Deployment.h"

namespace cactuswick::check {

/// Finds limits that contradict each other, that are beyond the product's own,
/// or that have no meaning where they stand. Pure.
Findings
CheckLimits(const model::Deployment& aDeployment);

} // namespace cactuswick::check

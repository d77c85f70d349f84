#pragma once

#include "cactuswick/check/version/Finding.h"
#include "cactuswick/model/version/Deployment.h"

namespace cactuswick::check {

/// Finds entries that no request can match, that nothing refers to, and names
/// that stand for two entries. Pure.
Findings
CheckMatches(const model::Deployment& aDeployment);

} // namespace cactuswick::check

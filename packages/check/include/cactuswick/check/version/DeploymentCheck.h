#pragma once

#include "cactuswick/check/version/Finding.h"
#include "cactuswick/model/version/Deployment.h"

namespace cactuswick::check {

/// Checks a deployment before it is sent: all violations for which control
/// refuses it, entries that no request can match, limits that contradict each
/// other and, if @p aInForce is not null, the differences from the version in
/// force and what they cut off. Pure. Sorted by severity.
Findings
Check(const model::Deployment& aDeployment,
      const model::Deployment* aInForce = nullptr);

} // namespace cactuswick::check

#include "cactuswick/check/version/DeploymentCheck.h"

#include <algorithm>

#include "version/InForceCheck.h"
#include "version/LimitCheck.h"
#include "version/MatchCheck.h"

namespace cactuswick::check {

namespace {

Findings
Refusals(const model::Deployment& aDeployment)
{
  Findings findings;
  for (const auto& violation : model::FindViolations(aDeployment)) {
    findings.push_back(ErrorFinding(violation.pointer_, violation.status_));
  }
  return findings;
}

} // namespace

Findings
Check(const model::Deployment& aDeployment, const model::Deployment* aInForce)
{
  Findings all = Refusals(aDeployment);
  const auto append = [&](const Findings& aFindings) {
    all.insert(all.end(), aFindings.begin(), aFindings.end());
  };
  append(CheckMatches(aDeployment));
  append(CheckLimits(aDeployment));
  if (aInForce != nullptr) {
    append(CheckAgainst(aDeployment, *aInForce));
  }
  std::stable_sort(
    all.begin(), all.end(), [](const Finding& aOne, const Finding& aOther) {
      return aOne.severity_ < aOther.severity_;
    });
  return all;
}

} // namespace cactuswick::check

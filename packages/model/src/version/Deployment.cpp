#include "cactuswick/model/version/Deployment.h"

#include <set>
#include <utility>

#include "cactuswick/model/process/Error.h"
#include "cactuswick/model/process/Text.h"

namespace cactuswick::model {

namespace {

absl::Status
ValidateSplit(const ForwardRoute& aRoute, const std::set<std::string>& aNames)
{
  int64_t sum = 0;
  for (const auto& share : aRoute.split_) {
    if (!aNames.contains(share.service_)) {
      return MakeError(ErrorKind::kUnknownResource,
                       Concat("route ", aRoute.name_),
                       Concat("unknown service ", share.service_));
    }
    if (share.weight_ < 0) {
      return MakeError(ErrorKind::kOutOfRange,
                       Concat("route ", aRoute.name_),
                       "expected non-negative weights");
    }
    sum += share.weight_;
  }
  if (sum <= 0) {
    return MakeError(ErrorKind::kOutOfRange,
                     Concat("route ", aRoute.name_),
                     "expected weights with a positive sum");
  }
  return absl::OkStatus();
}

absl::Status
ValidateRoutes(const Deployment& aDeployment)
{
  std::set<std::string> services;
  for (const auto& service : aDeployment.services_) {
    services.insert(service.name_);
  }
  std::set<std::pair<std::string, std::string>> matchers;
  for (const auto& route : aDeployment.routes_) {
    absl::Status split = ValidateSplit(route, services);
    if (!split.ok()) {
      return split;
    }
    if (route.timeoutMs_ <= 0) {
      return MakeError(ErrorKind::kOutOfRange,
                       Concat("route ", route.name_),
                       "expected a positive timeout");
    }
    if (!matchers.insert({ route.host_, route.pathPrefix_ }).second) {
      return MakeError(ErrorKind::kMalformed,
                       Concat("route ", route.name_),
                       "another route has the same host and path prefix");
    }
  }
  return absl::OkStatus();
}

absl::Status
ValidateKeys(const Deployment& aDeployment)
{
  std::set<std::string> keys;
  for (const auto& workspace : aDeployment.workspaces_) {
    const std::set<std::string> ownKeys(workspace.apiKeys_.begin(),
                                        workspace.apiKeys_.end());
    for (const auto& key : ownKeys) {
      if (!keys.insert(key).second) {
        return MakeError(ErrorKind::kMalformed,
                         Concat("workspace ", workspace.name_),
                         "another workspace has the same API key");
      }
    }
    if (workspace.prepaidTokens_.value_or(0) < 0) {
      return MakeError(ErrorKind::kOutOfRange,
                       Concat("workspace ", workspace.name_),
                       "expected a non-negative prepaid budget");
    }
  }
  return absl::OkStatus();
}

} // namespace

absl::Status
Validate(const Deployment& aDeployment)
{
  absl::Status status = ValidateRoutes(aDeployment);
  return status.ok() ? ValidateKeys(aDeployment) : status;
}

std::string
PrepaidBudgetOf(const std::string& aWorkspace)
{
  return Concat(aWorkspace, "/prepaid");
}

} // namespace cactuswick::model

#include "cactuswick/model/version/Deployment.h"

#include <map>
#include <set>
#include <utility>

#include "cactuswick/model/process/CodecImpl.h"
#include "cactuswick/model/process/Error.h"
#include "cactuswick/model/process/Text.h"

namespace cactuswick::model {

namespace {

using Violations = std::vector<Violation>;

void
FindInSplit(const ForwardRoute& aRoute,
            const std::string& aPointer,
            const std::set<std::string>& aServices,
            Violations& aFound)
{
  const std::string field = Concat("route ", aRoute.name_);
  int64_t sum = 0;
  for (size_t i = 0; i < aRoute.split_.size(); ++i) {
    const auto& share = aRoute.split_[i];
    if (!aServices.contains(share.service_)) {
      aFound.push_back(
        { Concat(aPointer, "/split/", i, "/service"),
          MakeError(ErrorKind::kUnknownResource,
                    field,
                    Concat("unknown service ", share.service_)) });
    }
    if (share.weight_ < 0) {
      aFound.push_back({ Concat(aPointer, "/split/", i, "/weight"),
                         MakeError(ErrorKind::kOutOfRange,
                                   field,
                                   "expected non-negative weights") });
    }
    sum += share.weight_;
  }
  if (sum <= 0) {
    aFound.push_back({ Concat(aPointer, "/split"),
                       MakeError(ErrorKind::kOutOfRange,
                                 field,
                                 "expected weights with a positive sum") });
  }
}

void
FindInRoutes(const Deployment& aDeployment, Violations& aFound)
{
  std::set<std::string> services;
  for (const auto& service : aDeployment.services_) {
    services.insert(service.name_);
  }
  std::set<std::pair<std::string, std::string>> matchers;
  for (size_t i = 0; i < aDeployment.routes_.size(); ++i) {
    const auto& route = aDeployment.routes_[i];
    const std::string pointer = Concat("/routes/", i);
    FindInSplit(route, pointer, services, aFound);
    if (route.timeoutMs_ <= 0) {
      aFound.push_back({ Concat(pointer, "/timeout_ms"),
                         MakeError(ErrorKind::kOutOfRange,
                                   Concat("route ", route.name_),
                                   "expected a positive timeout") });
    }
    if (!matchers.insert({ route.host_, route.pathPrefix_ }).second) {
      aFound.push_back(
        { Concat(pointer, "/path_prefix"),
          MakeError(ErrorKind::kMalformed,
                    Concat("route ", route.name_),
                    "another route has the same host and path prefix") });
    }
  }
}

void
FindInWorkspaces(const Deployment& aDeployment, Violations& aFound)
{
  std::map<std::string, size_t> owners;
  for (size_t i = 0; i < aDeployment.workspaces_.size(); ++i) {
    const auto& workspace = aDeployment.workspaces_[i];
    const std::string field = Concat("workspace ", workspace.name_);
    for (size_t k = 0; k < workspace.apiKeys_.size(); ++k) {
      if (owners.emplace(workspace.apiKeys_[k], i).first->second != i) {
        aFound.push_back({ Concat("/workspaces/", i, "/api_keys/", k),
                           MakeError(ErrorKind::kMalformed,
                                     field,
                                     "another workspace has the same API "
                                     "key") });
      }
    }
    if (workspace.prepaidTokens_.value_or(0) < 0) {
      aFound.push_back({ Concat("/workspaces/", i, "/prepaid_tokens"),
                         MakeError(ErrorKind::kOutOfRange,
                                   field,
                                   "expected a non-negative prepaid budget") });
    }
  }
}

} // namespace

std::vector<Violation>
FindViolations(const Deployment& aDeployment)
{
  Violations found;
  FindInRoutes(aDeployment, found);
  FindInWorkspaces(aDeployment, found);
  return found;
}

absl::Status
Validate(const Deployment& aDeployment)
{
  const auto found = FindViolations(aDeployment);
  return found.empty() ? absl::OkStatus() : found.front().status_;
}

std::string
PrepaidBudgetOf(const std::string& aWorkspace)
{
  return Concat(aWorkspace, "/prepaid");
}

} // namespace cactuswick::model

CACTUSWICK_INSTANTIATE_CODEC(cactuswick::model::Deployment);

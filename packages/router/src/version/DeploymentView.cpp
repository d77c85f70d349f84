#include "version/DeploymentView.h"

#include <algorithm>
#include <utility>

namespace cactuswick::router {

DeploymentView::DeploymentView(model::Deployment aDeployment)
  : deployment_(std::move(aDeployment))
{
  for (const auto& route : deployment_.routes_) {
    routes_[route.host_].push_back(&route);
  }
  for (auto& [host, routes] : routes_) {
    std::stable_sort(
      routes.begin(), routes.end(), [](const auto* a, const auto* b) {
        return a->pathPrefix_.size() > b->pathPrefix_.size();
      });
  }
  for (const auto& workspace : deployment_.workspaces_) {
    for (const auto& key : workspace.apiKeys_) {
      workspaceOfKey_[key] = &workspace;
    }
  }
  for (const auto& service : deployment_.services_) {
    services_[service.name_] = &service;
  }
}

const model::ForwardRoute*
DeploymentView::FindRoute(const std::string& aHost,
                          const std::string& aPath) const
{
  const auto found = routes_.find(aHost);
  if (found == routes_.end()) {
    return nullptr;
  }
  for (const auto* route : found->second) {
    if (aPath.starts_with(route->pathPrefix_)) {
      return route;
    }
  }
  return nullptr;
}

const model::ForwardWorkspace*
DeploymentView::FindWorkspaceByKey(const std::string& aKey) const
{
  const auto found = workspaceOfKey_.find(aKey);
  return found == workspaceOfKey_.end() ? nullptr : found->second;
}

const model::ForwardService*
DeploymentView::FindService(const std::string& aName) const
{
  const auto found = services_.find(aName);
  return found == services_.end() ? nullptr : found->second;
}

} // namespace cactuswick::router

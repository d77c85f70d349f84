#pragma once

#include <map>
#include <string>
#include <vector>

#include "cactuswick/model/version/Deployment.h"

namespace cactuswick::router {

/// A declared deployment, indexed by host, API key and service name. Immutable.
class DeploymentView
{
public:
  explicit DeploymentView(model::Deployment aDeployment);
  DeploymentView(const DeploymentView&) = delete;
  DeploymentView& operator=(const DeploymentView&) = delete;

  const model::Deployment& Spec() const { return deployment_; }

  /// Returns the host's route with the longest matching path prefix, or null.
  const model::ForwardRoute* FindRoute(const std::string& aHost,
                                       const std::string& aPath) const;
  const model::ForwardWorkspace* FindWorkspaceByKey(
    const std::string& aKey) const;
  const model::ForwardService* FindService(const std::string& aName) const;

private:
  model::Deployment deployment_;
  /// Routes by host, the longest path prefix first.
  std::map<std::string, std::vector<const model::ForwardRoute*>> routes_;
  std::map<std::string, const model::ForwardWorkspace*> workspaceOfKey_;
  std::map<std::string, const model::ForwardService*> services_;
};

} // namespace cactuswick::router

#pragma once

#include <map>
#include <string>
#include <vector>

#include "cactuswick/model/version/Deployment.h"

namespace cactuswick::router {

/// A declared deployment, indexed for requests. Immutable.
class DeploymentView
{
public:
  explicit DeploymentView(model::Deployment aDeployment);
  DeploymentView(const DeploymentView&) = delete;
  DeploymentView& operator=(const DeploymentView&) = delete;

  const model::Deployment& Spec() const { return deployment_; }

  /// The route of a host with the longest prefix that begins the path.
  const model::ForwardRoute* FindRoute(const std::string& aHost,
                                       const std::string& aPath) const;
  const model::ForwardWorkspace* FindByKey(const std::string& aKey) const;
  const model::ForwardService* FindService(const std::string& aName) const;

private:
  model::Deployment deployment_;
  /// By host, the longest prefix first.
  std::map<std::string, std::vector<const model::ForwardRoute*>> routes_;
  std::map<std::string, const model::ForwardWorkspace*> workspaceOfKey_;
  std::map<std::string, const model::ForwardService*> services_;
};

} // namespace cactuswick::router

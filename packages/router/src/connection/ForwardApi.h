#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "cactuswick/routing/process/RetryBudget.h"
#include "request/ForwardExchange.h"
#include "version/DeploymentView.h"

namespace cactuswick::router {

struct ForwardApiOptions
{
  ForwardServices& services_;
  /// Retry budget of each service at this router.
  std::function<routing::RetryBudgetOptions()> retries_;
  /// Whether this router may serve.
  std::function<bool()> isReady_;
  /// Whether new requests are refused because the router stops.
  std::function<bool()> refusesNew_;
  /// Whether callers should leave their connections.
  std::function<bool()> isLeaving_;
  uint64_t seed_ = 1;
};

/// Takes callers' requests, finds their route and workspace and starts their
/// exchanges.
class ForwardApi
{
public:
  explicit ForwardApi(ForwardApiOptions aOptions);

  void SetDeployment(std::unique_ptr<const DeploymentView> aDeployment);
  const DeploymentView* Deployment() const { return deployment_.get(); }

  void Handle(std::unique_ptr<transport::HttpExchange> aExchange);
  int64_t InFlight() const { return static_cast<int64_t>(exchanges_.size()); }

private:
  absl::StatusOr<ForwardPlan> Plan(const transport::HttpExchange& aExchange,
                                   absl::StatusOr<ForwardRequest> aRequest);
  absl::Status ResolveWorkspace(ForwardPlan& aPlan) const;
  absl::Status ChooseService(ForwardPlan& aPlan);
  void SetDeadlines(ForwardPlan& aPlan) const;
  static void SetBound(ForwardPlan& aPlan,
                       const model::ForwardWorkspace& aWorkspace);
  void Refuse(transport::HttpExchange& aExchange,
              const std::string& aId,
              const absl::Status& aStatus);
  routing::RetryBudget& RetryBudgetOf(const std::string& aService);
  int64_t RetryAfterMs(int64_t aDeadlineMs);

  ForwardApiOptions options_;
  std::mt19937_64 random_;
  std::unique_ptr<const DeploymentView> deployment_;
  std::map<std::string, routing::RetryBudget> retries_;
  routing::RequestId lastId_ = 0;
  std::map<routing::RequestId, std::unique_ptr<ForwardExchange>> exchanges_;
};

} // namespace cactuswick::router

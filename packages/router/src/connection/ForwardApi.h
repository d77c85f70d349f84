#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "cactuswick/routing/process/RetryBudget.h"
#include "request/ForwardExchange.h"
#include "version/DeploymentView.h"

namespace cactuswick::router {

struct ForwardApiOptions
{
  ForwardDependencies& services_;
  /// Returns the options of the retry budget that each service gets at this
  /// router.
  std::function<routing::RetryBudgetOptions()> retries_;
  /// Returns whether this router may serve.
  std::function<bool()> isReady_;
  /// Returns whether new requests are refused because the router is stopping.
  std::function<bool()> refusesNew_;
  /// Returns whether a request that ends by @p aDeadlineMs is accepted by the
  /// router in its present phase.
  std::function<bool(int64_t aDeadlineMs)> accepts_;
  /// Returns whether connections are to be closed after the next reply.
  std::function<bool()> isLeaving_;
  uint64_t seed_ = 1;
};

/// HTTP API for forwarded requests: resolves route and workspace of a request
/// and starts its exchange.
class ForwardApi
{
public:
  explicit ForwardApi(ForwardApiOptions aOptions);

  void SetDeployment(std::unique_ptr<const DeploymentView> aDeployment);
  const DeploymentView* Deployment() const { return deployment_.get(); }

  void Handle(std::unique_ptr<transport::HttpExchange> aExchange);
  /// Refuses waiting requests with prompt parts that are quarantined now.
  void OnQuarantined();
  /// Withdraws unsent requests from endpoints that take none any more.
  void OnEndpointsStopped();
  /// Sends requests again that this router, which is cut off from the
  /// endpoints, could not send or whose endpoints it does not hear.
  void OnCutOff();
  /// Returns whether a request has had nothing from its endpoint since
  /// @p aSinceMs.
  bool HasSilentCall(int64_t aSinceMs) const;
  /// Ends all requests in flight because the router stops.
  void EndAll();
  int64_t InFlight() const { return static_cast<int64_t>(exchanges_.size()); }

private:
  /// Returns an error if the router takes no requests now, or not this one
  /// whatever its route.
  absl::Status CheckAccepts(
    const transport::HttpExchange& aExchange,
    const absl::StatusOr<ForwardRequest>& aRequest) const;
  absl::StatusOr<ForwardPlan> Plan(const transport::HttpExchange& aExchange,
                                   absl::StatusOr<ForwardRequest> aRequest);
  absl::Status ResolveWorkspace(ForwardPlan& aPlan) const;
  absl::Status ChooseService(ForwardPlan& aPlan);
  /// Moves a plan to another service of its route; fails if the route does not
  /// lead there or none of its engines can run the request.
  absl::Status MoveTo(ForwardPlan& aPlan, const std::string& aService);
  /// Applies the retry budget of the plan's service and what the deployment
  /// says of its engines; returns an error if none of them can run the request.
  absl::Status ApplyServiceTraits(ForwardPlan& aPlan);
  /// Returns the error of a route without a service that can be used.
  absl::Status NoServiceError(const model::ForwardRoute& aRoute) const;
  void SetDeadlines(ForwardPlan& aPlan) const;
  static void SetBound(ForwardPlan& aPlan,
                       const model::ForwardWorkspace& aWorkspace);
  void Refuse(transport::HttpExchange& aExchange,
              const std::string& aId,
              const absl::Status& aStatus,
              std::optional<int64_t> aRetryAfterMs = std::nullopt);
  routing::RetryBudget& RetryBudgetOf(const std::string& aService);
  int64_t RetryAfterMs(model::ErrorKind aKind, int64_t aDeadlineMs);

  ForwardApiOptions options_;
  std::mt19937_64 random_;
  std::unique_ptr<const DeploymentView> deployment_;
  std::map<std::string, routing::RetryBudget> retries_;
  routing::RequestId lastId_ = 0;
  std::map<routing::RequestId, std::unique_ptr<ForwardExchange>> exchanges_;
};

} // namespace cactuswick::router

#pragma once

#include <functional>
#include <memory>

#include "cactuswick/settings/process/Settings.h"
#include "cactuswick/transport/connection/HttpServer.h"
#include "connection/ForwardApi.h"
#include "version/ConfigView.h"

namespace cactuswick::router {

struct ForwardRoleOptions
{
  transport::EventLoop& loop_;
  const settings::Settings& settings_;
  ForwardDialect dialect_;
  Biller& biller_;
  Dispatcher& dispatcher_;
  telemetry::Metrics& metrics_;
  telemetry::BurnTable& burn_;
  const ConfigView& config_;
  std::function<ledger::Incarnation()> self_;
  std::function<bool()> isReady_;
  std::function<bool()> isLeaving_;
  std::function<bool()> refusesNew_;
};

/// Sets how forwarded requests are billed: what they used is reported, and
/// grants cover some seconds without control.
void
SetForwardBilling(BillerOptions& aOptions, const settings::Settings& aSettings);

/// The part of a router that forwards requests by declared routes.
class ForwardRole
{
public:
  explicit ForwardRole(ForwardRoleOptions aOptions);

  absl::Status Listen();
  /// Takes the deployment and the departures that a change brought.
  void OnConfig(const ledger::ConfigDelta& aDelta);
  /// Takes what control has heard of endpoints.
  void OnEndpoints(const transport::Gossip& aNews);

  bool HasDeployment() const { return api_.Deployment() != nullptr; }
  int64_t InFlight() const { return api_.InFlight(); }

private:
  void OnReadyRequest(transport::HttpExchange& aExchange) const;
  void ApplyDeployment(const ledger::DeploymentRecord& aRecord);
  /// Sets what this router keeps of each budget at the least.
  void SetFloors();
  routing::RetryBudgetOptions Retries() const;

  ForwardRoleOptions options_;
  transport::HttpPool pool_;
  ForwardServices services_;
  ForwardApi api_;
  transport::HttpServer server_;
  transport::HttpServer readyServer_;
};

} // namespace cactuswick::router

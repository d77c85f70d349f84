#pragma once

#include <functional>
#include <memory>

#include "cactuswick/settings/process/Settings.h"
#include "cactuswick/transport/connection/HttpServer.h"
#include "connection/ForwardApi.h"
#include "process/EndpointPath.h"
#include "process/PrefillReporter.h"
#include "process/StreamOrigins.h"
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
  routing::LinkDelay& linkDelay_;
  const ConfigView& config_;
  ControlClient& control_;
  std::function<ledger::Incarnation()> self_;
  std::function<bool()> isReady_;
  std::function<bool()> isLeaving_;
  std::function<bool()> refusesNew_;
  std::function<bool(int64_t aDeadlineMs)> accepts_;
};

/// Configures billing of forwarded requests: usage is reported at intervals,
/// and grants cover some seconds without control.
void
SetForwardBilling(BillerOptions& aOptions, const settings::Settings& aSettings);

/// Role of a router that forwards requests along declared routes.
class ForwardRole
{
public:
  explicit ForwardRole(ForwardRoleOptions aOptions);

  absl::Status Listen();
  /// Applies the deployment, the retired endpoints and, for warm-up, the list
  /// of routers of a configuration change.
  void OnConfig(const ledger::ConfigDelta& aDelta);
  /// Reports pending prompts; for each tick of the router.
  void OnTick(int64_t aNowMs);
  /// Applies endpoint announcements and pending prompts relayed by control.
  void OnGossip(const transport::Gossip& aGossip);

  PromptQuarantine& Quarantine() { return quarantine_; }
  /// Repeats to a new leader what only routers know.
  void OnConnected();
  bool HasDeployment() const { return api_.Deployment() != nullptr; }
  /// Ends all requests in flight because the router stops.
  void EndAll()
  {
    api_.EndAll();
    path_.CloseTunnels();
  }
  int64_t InFlight() const { return api_.InFlight(); }
  /// Returns the number of connections to endpoints that are open for other
  /// routers.
  size_t TunnelsForOthers() const { return path_.TunnelsForOthers(); }
  /// Accepts no more connections of callers and reads no more requests.
  void StopReading()
  {
    server_.StopReading();
    readyServer_.StopReading();
  }

private:
  PromptQuarantineOptions QuarantineOptions();
  PrefillReporterOptions ReporterOptions();
  StreamOriginsOptions OriginsOptions();
  EndpointPathOptions PathOptions();
  /// Returns whether a service of the deployment has model engines.
  bool HasEngines() const;
  void OnReadyRequest(transport::HttpExchange& aExchange) const;
  void ApplyDeployment(const ledger::DeploymentRecord& aRecord);
  /// Sets what cold endpoints of the services bear.
  void SetWarmUpLimits();
  /// Tells which routers share the requests to cold endpoints.
  void SetWarmUpRouters();
  /// Returns the limits of callers' connections; @p aDeployment is null before
  /// a deployment is known.
  transport::HttpLimits Limits(const model::CallerLimits* aDeployment) const;
  /// Sets the minimum that this router keeps of each budget.
  void SetFloors();
  routing::RetryBudgetOptions RetryOptions() const;

  ForwardRoleOptions options_;
  transport::HttpPool pool_;
  PromptQuarantine quarantine_;
  PrefillReporter prefill_;
  StreamOrigins origins_;
  EndpointPath path_;
  ForwardDependencies services_;
  ForwardApi api_;
  transport::HttpServer server_;
  transport::HttpServer readyServer_;
};

} // namespace cactuswick::router

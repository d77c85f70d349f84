#include "process/ForwardRole.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "cactuswick/model/process/Error.h"
#include "cactuswick/model/process/Hash.h"
#include "cactuswick/model/process/Compression.h"
#include "cactuswick/telemetry/process/Log.h"
#include "connection/CallerLimits.h"
#include "connection/HttpErrors.h"

namespace cactuswick::router {

namespace {

using model::Concat;
using telemetry::Counter;
using telemetry::Level;
using telemetry::Log;
using telemetry::Part;
using transport::EventLoop;

/// Callers may reuse a connection that has been idle for almost their own
/// limit.
constexpr int64_t kIdleMarginMs = 5'000;
/// Control reports lost endpoints, so their lease must not expire here first.
constexpr int64_t kLeaseMs = 3'600'000;
constexpr double kPercent = 100;
/// Heads may exceed the deployment's limit by this much, which covers
/// differences in counting.
constexpr size_t kHeadMarginBytes = size_t{ 4 } << 10;
/// Multiple of the deployment's time for a head, as packets may be late.
constexpr int64_t kHeadTimeFactor = 2;
/// Safety factors: retry budgets of restarted routers overlap with those from
/// before the restart.
constexpr double kSlackSafety = 0.5;
constexpr double kRatioSafety = 0.75;
/// Timeout of a forwarded request's reservation.
constexpr int64_t kReserveTimeoutMs = 400;
constexpr int64_t kMaxReserveAttempts = 3;
/// Time for which grants last while control is unreachable.
constexpr int64_t kGrantHorizonMs = 9'000;
constexpr int64_t kRefillPercent = 85;
constexpr int64_t kMarginPercent = 140;
/// Time since the leader was reached after which it may have admitted versions
/// that this router does not know and that others send requests to.
constexpr int64_t kContactMs = 900;
static_assert(kContactMs < routing::EndpointTable::kVersionOpensMs);
constexpr int kHttpUnavailable = 503;
constexpr int64_t kMsPerSecond = 1'000;

} // namespace

void
SetForwardBilling(BillerOptions& aOptions, const settings::Settings& aSettings)
{
  aOptions.reserveTimeoutMs_ = kReserveTimeoutMs;
  aOptions.maxAttempts_ = kMaxReserveAttempts;
  aOptions.reportsUsage_ = true;
  aOptions.from_ = aSettings.GetAddress(settings::kRouterPeerListen).host_;
  aOptions.grants_ = { .horizonMs_ = kGrantHorizonMs,
                       .extrapolates_ = true,
                       .refillPercent_ = kRefillPercent,
                       .targetPercent_ = kMarginPercent };
}

ForwardRole::ForwardRole(ForwardRoleOptions aOptions)
  : options_(std::move(aOptions))
  , pool_(options_.loop_)
  , quarantine_(options_.loop_, QuarantineOptions())
  , prefill_(ReporterOptions())
  , origins_(OriginsOptions())
  , path_(PathOptions())
  , services_{ options_.loop_,
               options_.biller_,
               options_.dispatcher_,
               pool_,
               options_.metrics_,
               options_.burn_,
               options_.dialect_,
               quarantine_,
               options_.linkDelay_,
               origins_,
               path_ }
  , api_({ .services_ = services_,
           .retries_ = [this] { return RetryOptions(); },
           .isReady_ = options_.isReady_,
           .refusesNew_ = options_.refusesNew_,
           .accepts_ = options_.accepts_,
           .isLeaving_ = options_.isLeaving_,
           .seed_ = model::Hash64(model::RandomHex()) })
  , server_(options_.loop_,
            { .limits_ = Limits(nullptr),
              .maxDescriptors_ = static_cast<size_t>(
                options_.settings_.Get(settings::kMaxDescriptors)),
              .onRequest_ =
                [this](std::unique_ptr<transport::HttpExchange> aExchange) {
                  api_.Handle(std::move(aExchange));
                } })
  , readyServer_(
      options_.loop_,
      { .onRequest_ =
          [this](std::unique_ptr<transport::HttpExchange> aExchange) {
            OnReadyRequest(*aExchange);
          } })
{
}

absl::Status
ForwardRole::Listen()
{
  const auto& settings = options_.settings_;
  absl::Status status =
    server_.Listen(settings.GetAddress(settings::kForwardListen));
  if (!settings.Get(settings::kForwardReadyListen).empty()) {
    status.Update(
      readyServer_.Listen(settings.GetAddress(settings::kForwardReadyListen)));
  }
  if (!settings.Get(settings::kRouterTunnelListen).empty()) {
    status.Update(
      path_.Listen(settings.GetAddress(settings::kRouterTunnelListen)));
  }
  return status;
}

void
ForwardRole::OnReadyRequest(transport::HttpExchange& aExchange) const
{
  const bool isReadyPath = aExchange.Path() == options_.dialect_.readyPath_;
  const bool ready =
    HasDeployment() && options_.isReady_() && !options_.isLeaving_();
  const int status =
    isReadyPath ? (ready ? kHttpOk : kHttpUnavailable) : kHttpNotFound;
  aExchange.Reply(status,
                  { { "Content-Type", kJsonType } },
                  ready ? "{\"ready\":true}" : "{\"ready\":false}");
}

PromptQuarantineOptions
ForwardRole::QuarantineOptions()
{
  const auto& settings = options_.settings_;
  return {
    .crashes_ = settings.Get(settings::kQuarantineCrashes),
    .windowMs_ = settings.Get(settings::kQuarantineWindowS) * kMsPerSecond,
    .localMs_ = settings.Get(settings::kQuarantineProbeS) * kMsPerSecond,
    .metrics_ = options_.metrics_,
    .send_ =
      [this](const transport::CrashEvidence& aEvidence) {
        options_.control_.SendUnreliable(aEvidence);
      },
    .submit_ =
      [this](ledger::RouterOp aOp, ControlClient::OpHook aHook) {
        options_.control_.Submit(std::move(aOp), std::move(aHook));
      },
    .isControlReachable_ = [this] { return options_.control_.IsReachable(); },
    .onQuarantined_ = [this] { api_.OnQuarantined(); }
  };
}

PrefillReporterOptions
ForwardRole::ReporterOptions()
{
  return { .intervalMs_ =
             options_.settings_.Get(settings::kForwardPrefillIntervalMs),
           .endpoints_ = options_.dispatcher_.Endpoints(),
           .self_ = options_.self_,
           .send_ = [this](const transport::PeerMessage& aMessage) {
             options_.control_.SendUnreliable(aMessage);
           } };
}

StreamOriginsOptions
ForwardRole::OriginsOptions()
{
  return { .endpoints_ = options_.dispatcher_.Endpoints(),
           .isInContact_ =
             [this] {
               return options_.control_.IsReachable() &&
                      EventLoop::NowMs() - options_.control_.LastContactMs() <=
                        kContactMs;
             },
           .self_ = options_.self_,
           .send_ =
             [this](const transport::PeerMessage& aMessage) {
               options_.control_.SendUnreliable(aMessage);
             } };
}

EndpointPathOptions
ForwardRole::PathOptions()
{
  const auto& settings = options_.settings_;
  const bool hasTunnels = !settings.Get(settings::kRouterTunnelListen).empty();
  return { .loop_ = options_.loop_,
           .dispatcher_ = options_.dispatcher_,
           .linkDelay_ = options_.linkDelay_,
           .metrics_ = options_.metrics_,
           .failureDomain_ = settings.Get(settings::kFailureDomain),
           .region_ = settings.Get(settings::kRegion),
           .tunnelPort_ =
             hasTunnels
               ? settings.GetAddress(settings::kRouterTunnelListen).port_
               : uint16_t{ 0 },
           .servesOthers_ =
             [this] { return options_.isReady_() && !options_.isLeaving_(); },
           .onCutOff_ = [this] { api_.OnCutOff(); } };
}

bool
ForwardRole::HasEngines() const
{
  if (!HasDeployment()) {
    return false;
  }
  const auto& services = api_.Deployment()->Spec().services_;
  return std::any_of(services.begin(), services.end(), [](const auto& aOne) {
    return aOne.engine_.has_value();
  });
}

void
ForwardRole::OnTick(int64_t aNowMs)
{
  if (HasEngines()) {
    prefill_.OnTick(aNowMs);
  }
  origins_.OnTick(aNowMs);
  if (path_.IsSilent(aNowMs) &&
      api_.HasSilentCall(aNowMs - EndpointPath::kSilenceMs)) {
    path_.OnSilence();
  }
  path_.OnTick(aNowMs);
}

void
ForwardRole::OnConnected()
{
  quarantine_.OnConnected();
  origins_.ReportAll();
}

void
ForwardRole::OnConfig(const ledger::ConfigDelta& aDelta)
{
  quarantine_.OnConfig(aDelta);
  for (const auto& retired : aDelta.retired_) {
    Log(Part::kEndpoint,
        Level::kInfo,
        Concat("retired endpoint=",
               retired.endpoint_,
               " incarnation=",
               retired.incarnation_,
               " revision=",
               retired.revision_));
    options_.dispatcher_.Retire(retired.endpoint_, retired.incarnation_);
  }
  if (aDelta.versions_) {
    options_.dispatcher_.SetAdmittedVersions(
      routing::AdmittedVersions(*aDelta.versions_));
    origins_.ReportAll();
  }
  if (aDelta.routersChanged_) {
    path_.SetRouters(options_.config_.Routers(), options_.self_());
    SetWarmUpRouters();
  }
  if (aDelta.deployment_) {
    ApplyDeployment(*aDelta.deployment_);
  } else if (aDelta.routersChanged_) {
    SetFloors();
  }
}

void
ForwardRole::ApplyDeployment(const ledger::DeploymentRecord& aRecord)
{
  const auto* current = api_.Deployment();
  if (current != nullptr && aRecord.version_ <= current->Spec().version_) {
    return;
  }
  const auto document = model::Decompress(aRecord.document_);
  auto deployment = document.ok()
                      ? options_.dialect_.decodeDeployment_(*document)
                      : document.status();
  if (!deployment.ok()) {
    Log(Part::kRouter,
        Level::kError,
        Concat("cannot decode deployment version=",
               aRecord.version_,
               ": ",
               std::string(deployment.status().message())));
    return;
  }
  Log(Part::kRouter,
      Level::kInfo,
      Concat("deployment in force version=",
             aRecord.version_,
             " revision=",
             aRecord.revision_,
             " routes=",
             deployment->routes_.size()));
  options_.metrics_.Count(Counter::kConfigChanges);
  server_.SetLimits(Limits(&deployment->limits_));
  api_.SetDeployment(
    std::make_unique<const DeploymentView>(*std::move(deployment)));
  SetFloors();
  SetWarmUpLimits();
}

void
ForwardRole::SetWarmUpLimits()
{
  std::vector<routing::WarmUpLimit> limits;
  for (const auto& service : api_.Deployment()->Spec().services_) {
    limits.push_back({ service.name_, service.coldRequestsPerS_ });
  }
  options_.dispatcher_.Endpoints().ColdEndpoints().SetLimits(limits);
}

void
ForwardRole::SetWarmUpRouters()
{
  std::vector<std::string> vms;
  for (const auto& router : options_.config_.Routers()) {
    if (router.state_ == ledger::RouterState::kServing) {
      vms.push_back(router.vm_);
    }
  }
  options_.dispatcher_.Endpoints().ColdEndpoints().SetRouters(
    std::move(vms), EventLoop::NowMs());
}

transport::HttpLimits
ForwardRole::Limits(const model::CallerLimits* aDeployment) const
{
  transport::HttpLimits limits =
    HttpLimitsOf(options_.settings_,
                 { .maxHeaderBytes_ = size_t{ model::kMaxCallerHeaderBytes },
                   .maxBodyBytes_ = size_t{ model::kMaxCallerBodyBytes } });
  if (aDeployment != nullptr) {
    limits.maxHeaderBytes_ = std::min(
      size_t{ model::kMaxCallerHeaderBytes },
      static_cast<size_t>(aDeployment->maxHeaderBytes_) + kHeadMarginBytes);
    limits.maxBodyBytes_ =
      std::min(size_t{ model::kMaxCallerBodyBytes },
               static_cast<size_t>(aDeployment->maxBodyBytes_));
    limits.headTimeoutMs_ = std::min(
      limits.headTimeoutMs_, kHeadTimeFactor * aDeployment->headerTimeoutMs_);
    limits.idleTimeoutMs_ = aDeployment->idleTimeoutMs_ + kIdleMarginMs;
  }
  return limits;
}

void
ForwardRole::SetFloors()
{
  if (!HasDeployment()) {
    return;
  }
  const auto& routers = options_.config_.Routers();
  const double reservePercent =
    routing::ReservePercent(options_.config_.ServingRouters());
  const auto self = options_.self_();
  for (const auto& workspace : api_.Deployment()->Spec().workspaces_) {
    if (workspace.prepaidTokens_) {
      const std::string budget = model::PrepaidBudgetOf(workspace.name_);
      const auto holders = routing::SelectReserveHolders(budget, routers);
      const bool holdsReserve =
        std::find(holders.begin(), holders.end(), self) != holders.end();
      const double reserve = static_cast<double>(*workspace.prepaidTokens_) *
                             reservePercent / kPercent;
      const ledger::Tokens floor =
        holdsReserve
          ? std::llround(reserve / static_cast<double>(holders.size()))
          : 0;
      options_.biller_.SetFloor(budget, floor);
      if (floor > 0) {
        options_.biller_.RequestInitialGrant(budget, floor);
      }
    }
  }
}

void
ForwardRole::OnGossip(const transport::Gossip& aGossip)
{
  prefill_.OnGossip(aGossip, EventLoop::NowMs());
  origins_.OnGossip(aGossip);
  for (const auto& relayed : aGossip.endpoints_) {
    model::Announcement announcement = relayed.announcement_;
    announcement.leaseMs_ = kLeaseMs;
    if (options_.dispatcher_.ApplyAnnouncement(announcement, 0)) {
      Log(Part::kEndpoint,
          Level::kInfo,
          Concat("knows endpoint=",
                 announcement.endpoint_,
                 " incarnation=",
                 announcement.incarnation_,
                 " sequence=",
                 announcement.sequence_,
                 " age_ms=",
                 relayed.ageMs_,
                 " cold_ms=",
                 announcement.coldLeftMs_,
                 " version=",
                 announcement.softwareVersion_));
    }
  }
  for (const auto& lost : aGossip.lost_) {
    Log(
      Part::kEndpoint,
      Level::kWarning,
      Concat(
        "lost endpoint=", lost.endpoint_, " incarnation=", lost.incarnation_));
    options_.dispatcher_.MarkLost(lost.endpoint_, lost.incarnation_);
  }
}

routing::RetryBudgetOptions
ForwardRole::RetryOptions() const
{
  const auto& settings = options_.settings_;
  const double slack = settings.GetDecimal(settings::kForwardRetrySlack);
  const auto routers = static_cast<double>(
    std::max(int64_t{ 1 }, options_.config_.ServingRouters()));
  return { .ratio_ =
             kRatioSafety * settings.GetDecimal(settings::kForwardRetryRatio),
           .capacity_ = kSlackSafety * slack / routers };
}

} // namespace cactuswick::router

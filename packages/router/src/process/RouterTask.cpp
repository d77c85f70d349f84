#include "cactuswick/router/process/RouterTask.h"

#include <cmath>
#include <optional>
#include <utility>

#include "cactuswick/control/process/CallerMetrics.h"
#include "cactuswick/control/process/MetricsServer.h"
#include "cactuswick/model/process/Error.h"
#include "cactuswick/model/process/Hash.h"
#include "cactuswick/telemetry/process/Log.h"
#include "connection/CallerApi.h"
#include "connection/CallerLimits.h"
#include "connection/OperatorApi.h"
#include "process/ForwardRole.h"
#include "process/EvacuationOrders.h"
#include "process/OwnEndpoints.h"
#include "process/RouterAddresses.h"
#include "process/RouterHeartbeat.h"
#include "process/RouterMetrics.h"
#include "process/RouterShutdown.h"
#include "process/TrafficLog.h"

namespace cactuswick::router {

namespace {

using model::Concat;
using telemetry::Level;
using telemetry::Log;
using telemetry::Part;
using transport::EventLoop;

constexpr int64_t kTickMs = 50;
/// Bodies up to this multiple of the limit get a typed error; the HTTP library
/// rejects larger ones.
constexpr size_t kBodyMargin = 4;
/// Time reserved at the end of the grace period for the last steps.
constexpr int64_t kGraceMarginMs = 900;
constexpr int64_t kMsPerSecond = 1'000;

} // namespace

struct RouterTask::State
{
  State(EventLoop& aLoop,
        const settings::Settings& aSettings,
        const ForwardDialect& aDialect,
        std::function<void(absl::Status)> aOnStopped)
    : loop_(aLoop)
    , settings_(aSettings)
    , dialect_(aDialect)
    , maxBodyBytes_(static_cast<size_t>(aSettings.Get(settings::kMaxBodyBytes)))
    , dispatcher_(
        aLoop,
        { .failureDomain_ = aSettings.Get(settings::kFailureDomain),
          .firstTokenLimitMs_ = aSettings.Get(settings::kEndpointFirstTokenMs),
          .vm_ = aSettings.Get(settings::kVm) })
    , ownEndpoints_(
        { .loop_ = aLoop,
          .dispatcher_ = dispatcher_,
          .keySha256_ = aSettings.Get(settings::kEndpointKeySha256),
          .onAnnouncement_ =
            [this](const transport::RelayedAnnouncement& aAnnouncement) {
              peers_->BroadcastEndpoint(aAnnouncement);
            } })
    , metricsServer_(aLoop, [this] { return ExposeMetrics(); })
    , shutdown_(ShutdownOptions(std::move(aOnStopped)))
    , trafficLog_(aLoop.TrafficCounters(), metrics_)
    , tick_(aLoop, [this] { OnTick(); })
  {
    server_ = std::make_unique<transport::HttpServer>(
      aLoop,
      transport::HttpServerOptions{
        .limits_ = HttpLimitsOf(
          aSettings, { .maxBodyBytes_ = kBodyMargin * maxBodyBytes_ }),
        .maxDescriptors_ =
          static_cast<size_t>(aSettings.Get(settings::kMaxDescriptors)),
        .onRequest_ =
          [this](std::unique_ptr<transport::HttpExchange> aExchange) {
            OnRequest(std::move(aExchange));
          } });
    aLoop.Callers().Budget().SetLimit(aSettings.ConnectionMemoryBytes());
    control::CountCuts(aLoop.Callers(), metrics_);
    MakePeers();
  }

  RouterShutdownOptions ShutdownOptions(
    std::function<void(absl::Status)> aOnStopped)
  {
    const auto& leaveSetting =
      Forwards() ? settings::kForwardLeaveMs : settings::kRouterEntryTtlMs;
    RouterShutdownOptions options{
      .leaveMs_ = settings_.Get(leaveSetting),
      .drainMs_ = settings_.Get(settings::kDrainMs),
      .isRegistered_ = [this] { return control_->IsRegistered(); },
      .isIdle_ =
        [this] {
          // Responses that have ended may still be in output buffers.
          return InFlight() == 0 && biller_->PendingCount() == 0 &&
                 (!forward_ || forward_->TunnelsForOthers() == 0) &&
                 loop_.Callers().Budget().HeldBytes(
                   transport::HeldKind::kResponse) == 0;
        },
      .onDrainTimeout_ =
        [this] {
          if (forward_) {
            forward_->EndAll();
          }
        },
      .onLeave_ = [this] { control_->Submit(ledger::SetDraining{}); },
      .onDeregister_ = [this] { Deregister(); },
      .onStopReading_ =
        [this] {
          server_->StopReading();
          if (forward_) {
            forward_->StopReading();
          }
        },
      .onStopped_ = std::move(aOnStopped)
    };
    if (Forwards()) {
      options.graceMs_ =
        std::llround(settings_.GetDecimal(settings::kForwardGraceS) *
                     static_cast<double>(kMsPerSecond)) -
        kGraceMarginMs;
    }
    return options;
  }

  void Deregister()
  {
    biller_->ReturnAll();
    control_->Submit(ledger::DeregisterRouter{},
                     [this](const ledger::OpResult&) {
                       shutdown_.OnDeregistered(EventLoop::NowMs());
                     });
  }

  void MakePeers()
  {
    peers_ = std::make_unique<RouterPeers>(
      loop_,
      RouterPeersOptions{
        .from_ = settings_.GetAddress(settings::kRouterPeerListen).host_,
        .failureDomain_ = settings_.Get(settings::kFailureDomain),
        .region_ = settings_.Get(settings::kRegion),
        .onEndpoint_ =
          [this](const transport::RelayedAnnouncement& aAnnouncement) {
            dispatcher_.ApplyAnnouncement(aAnnouncement.announcement_,
                                          aAnnouncement.ageMs_);
          },
        .onCopies_ =
          [this](const transport::CopySettlements& aCopies) {
            return biller_ ? biller_->OnCopies(aCopies)
                           : std::vector<int64_t>();
          },
        .onStored_ =
          [this](const transport::CopiesStored& aStored) {
            biller_->OnCopiesStored(aStored);
          },
        .onDrop_ =
          [this](const transport::DropCopies& aDrop) {
            if (biller_) {
              biller_->OnDrop(aDrop);
            }
          },
        .onLend_ =
          [this](const transport::LendRequest& aRequest) {
            return biller_->OnLend(aRequest);
          },
        .onBackupLost_ =
          [this](ledger::Incarnation aBackup) {
            biller_->OnBackupLost(aBackup);
          },
        .endpoints_ = [this] { return ownEndpoints_.RelayedAnnouncements(); },
        .load_ = [this] { return callerApi_ ? callerApi_->InFlight() : 0; } });
  }

  absl::Status Start()
  {
    absl::Status status;
    if (!settings_.Get(settings::kRouterListen).empty()) {
      status = server_->Listen(settings_.GetAddress(settings::kRouterListen));
    }
    status.Update(
      peers_->Listen(settings_.GetAddress(settings::kRouterPeerListen)));
    if (!settings_.Get(settings::kRouterMetricsListen).empty()) {
      status.Update(metricsServer_.Listen(
        settings_.GetAddress(settings::kRouterMetricsListen)));
    }
    if (!status.ok()) {
      return status;
    }
    MakeControl();
    MakeApis();
    if (Forwards()) {
      status = MakeForward();
    }
    if (!status.ok()) {
      return status;
    }
    tick_.StartRepeating(kTickMs);
    Log(Part::kRouter,
        Level::kInfo,
        Concat("starting vm=",
               settings_.Get(settings::kVm),
               " listen=",
               CallersAddressOf(settings_)));
    return absl::OkStatus();
  }

  bool Forwards() const
  {
    return !settings_.Get(settings::kForwardListen).empty();
  }

  absl::Status MakeForward()
  {
    forward_ = std::make_unique<ForwardRole>(ForwardRoleOptions{
      .loop_ = loop_,
      .settings_ = settings_,
      .dialect_ = dialect_,
      .biller_ = *biller_,
      .dispatcher_ = dispatcher_,
      .metrics_ = metrics_,
      .burn_ = burn_,
      .linkDelay_ = linkDelay_,
      .config_ = config_,
      .control_ = *control_,
      .self_ = [this] { return control_->Incarnation(); },
      .isReady_ = [this] { return IsReady(); },
      .isLeaving_ = [this] { return shutdown_.IsLeaving(); },
      .refusesNew_ = [this] { return shutdown_.RefusesNew(); },
      .accepts_ =
        [this](int64_t aDeadlineMs) {
          return shutdown_.Accepts(EventLoop::NowMs(), aDeadlineMs);
        } });
    return forward_->Listen();
  }

  int64_t InFlight() const
  {
    return callerApi_->InFlight() + (forward_ ? forward_->InFlight() : 0);
  }

  void MakeControl()
  {
    control_ = std::make_unique<ControlClient>(
      loop_,
      ControlClientOptions{
        .replicas_ = settings_.GetAddresses(settings::kRouterControl),
        .port_ =
          static_cast<uint16_t>(settings_.Get(settings::kRouterControlPort)),
        .from_ = settings_.GetAddress(settings::kRouterPeerListen).host_,
        .registration_ = { .nonce_ = model::RandomHex(),
                           .vm_ = settings_.Get(settings::kVm),
                           .failureDomain_ =
                             settings_.Get(settings::kFailureDomain),
                           .region_ = settings_.Get(settings::kRegion),
                           .address_ = CallersAddressOf(settings_),
                           .peerAddress_ = PeerAddressOf(settings_),
                           .reportsLate_ = Forwards() },
        .onRegistered_ =
          [this](const ledger::Registered& aRegistered) {
            minimumRevision_ = aRegistered.revision_;
            Log(Part::kRouter,
                Level::kInfo,
                Concat("registered as incarnation ", aRegistered.incarnation_));
          },
        .onConfig_ =
          [this](const ledger::ConfigDelta& aDelta) { OnConfig(aDelta); },
        .onRecall_ =
          [this](const std::string& aBudget) { biller_->OnRecall(aBudget); },
        .onEndpoints_ =
          [this](const transport::Gossip& aGossip) {
            if (forward_) {
              forward_->OnGossip(aGossip);
            }
          },
        .onWatch_ =
          [this](const transport::WatchParts& aWatch) {
            if (forward_) {
              forward_->Quarantine().OnWatch(aWatch);
            }
          },
        .onConnected_ =
          [this] {
            if (forward_) {
              forward_->OnConnected();
            }
          },
        .onRoundTrip_ =
          [this](int64_t aRoundTripMs) {
            metrics_.Observe(telemetry::Summary::kControlRoundTripMs,
                             static_cast<double>(aRoundTripMs));
          },
        .onEnded_ =
          [this] {
            if (shutdown_.IsDeregistered()) {
              // The reply to the deregistration was lost.
              shutdown_.OnDeregistered(EventLoop::NowMs());
              return;
            }
            shutdown_.Stop(model::MakeError(
              model::ErrorKind::kForbidden,
              "incarnation",
              "control has ended this incarnation; restart the router"));
          } });
    BillerOptions billing{ .control_ = *control_,
                           .peers_ = *peers_,
                           .config_ = config_,
                           .metrics_ = metrics_,
                           .settleTimeoutMs_ =
                             settings_.Get(settings::kSettleTimeoutMs) };
    if (Forwards()) {
      SetForwardBilling(billing, settings_);
    }
    biller_ = std::make_unique<Biller>(loop_, billing);
  }

  void MakeApis()
  {
    services_.emplace(RequestDependencies{ .loop_ = loop_,
                                           .config_ = config_,
                                           .control_ = *control_,
                                           .biller_ = *biller_,
                                           .dispatcher_ = dispatcher_,
                                           .metrics_ = metrics_,
                                           .burn_ = burn_,
                                           .limits_ = LimitsOf(settings_) });
    callerApi_ = std::make_unique<CallerApi>(CallerApiOptions{
      .services_ = *services_,
      .address_ = settings_.Get(settings::kRouterListen),
      .entryTtlMs_ = settings_.Get(settings::kRouterEntryTtlMs),
      .isReady_ = [this] { return IsReady(); },
      .refusesNew_ = [this] { return shutdown_.RefusesNew(); },
      .loadOf_ =
        [this](ledger::Incarnation aRouter) {
          return peers_->LoadOf(aRouter);
        } });
    heartbeat_ = std::make_unique<RouterHeartbeat>(RouterHeartbeatOptions{
      .control_ = *control_,
      .config_ = config_,
      .biller_ = *biller_,
      .oldestCall_ = [this] { return callerApi_->OldestStart(); } });
    ownEndpoints_.Start(*control_, config_);
    operatorApi_ = std::make_unique<OperatorApi>(OperatorApiOptions{
      .loop_ = loop_,
      .control_ = *control_,
      .config_ = config_,
      .burn_ = burn_,
      .keySha256_ = settings_.Get(settings::kOperatorKeySha256),
      .onDrain_ = [this] { shutdown_.Begin(EventLoop::NowMs()); } });
  }

  /// Returns whether the configuration is at least as new as any with which an
  /// earlier incarnation of this router may have served.
  bool IsReady() const
  {
    return control_->IsRegistered() && config_.Revision() >= minimumRevision_;
  }

  void OnRequest(std::unique_ptr<transport::HttpExchange> aExchange)
  {
    if (aExchange->Body().size() > maxBodyBytes_) {
      ReplyError(
        *aExchange,
        model::MakeError(model::ErrorKind::kTooLarge,
                         "body",
                         Concat("expected at most ", maxBodyBytes_, " bytes")));
      return;
    }
    if (!callerApi_) {
      ReplyError(*aExchange,
                 model::MakeError(
                   model::ErrorKind::kStarting, "", "the router is starting"));
      return;
    }
    auto rest = callerApi_->Handle(std::move(aExchange));
    rest = rest ? ownEndpoints_.Handle(std::move(rest)) : nullptr;
    rest = rest ? operatorApi_->Handle(std::move(rest)) : nullptr;
    if (!rest) {
      return;
    }
    if (rest->Path() == "/healthz") {
      ReplyJson(*rest, IsReady() ? "{\"ready\":true}" : "{\"ready\":false}");
      return;
    }
    ReplyError(*rest,
               model::MakeError(
                 model::ErrorKind::kUnknownResource, "path", "no such path"));
  }

  void OnConfig(const ledger::ConfigDelta& aDelta)
  {
    const int64_t before = config_.Revision();
    config_.Apply(aDelta);
    if (config_.Revision() == before) {
      return;
    }
    metrics_.Count(telemetry::Counter::kConfigChanges);
    control_->SetRevision(config_.Revision());
    if (!Forwards()) {
      peers_->SetRouters(control_->Incarnation(), config_.Routers());
    }
    biller_->OnConfig();
    operatorApi_->OnConfig();
    if (aDelta.evacuations_) {
      auto evacuations = EvacuationsIn(aDelta);
      LogEvacuations(evacuations, aDelta.revision_);
      dispatcher_.SetEvacuations(std::move(evacuations));
    }
    if (forward_) {
      forward_->OnConfig(aDelta);
    }
  }

  void OnTick()
  {
    const int64_t now = EventLoop::NowMs();
    if (control_->IsReachable()) {
      dispatcher_.Endpoints().ColdEndpoints().OnContact(
        control_->LastContactMs());
    }
    if (const auto line = trafficLog_.OnTick(now)) {
      Log(
        Part::kRouter, Level::kInfo, Concat(*line, " in_flight=", InFlight()));
    }
    // A forwarding router's link to control serves as its heartbeat; it settles
    // no keys.
    if (!Forwards() && !shutdown_.IsDeregistered()) {
      heartbeat_->OnTick(now);
    }
    if (forward_) {
      forward_->OnTick(now);
    }
    shutdown_.OnTick(now);
  }

  std::string ExposeMetrics()
  {
    SetRouterGauges(
      metrics_,
      { .dispatcher_ = dispatcher_,
        .callersMemory_ = loop_.Callers().Budget(),
        .inFlight_ = callerApi_ ? InFlight() : 0,
        .pendingSettlements_ =
          biller_ ? static_cast<int64_t>(biller_->PendingCount()) : 0,
        .configRevision_ = config_.Revision() });
    return metrics_.Expose();
  }

  EventLoop& loop_;
  const settings::Settings& settings_;
  ForwardDialect dialect_;
  size_t maxBodyBytes_;
  telemetry::Metrics metrics_;
  telemetry::BurnTable burn_;
  routing::LinkDelay linkDelay_;
  ConfigView config_;
  Dispatcher dispatcher_;
  std::unique_ptr<transport::HttpServer> server_;
  std::unique_ptr<RouterPeers> peers_;
  std::unique_ptr<ControlClient> control_;
  std::unique_ptr<Biller> biller_;
  std::optional<RequestDependencies> services_;
  std::unique_ptr<CallerApi> callerApi_;
  std::unique_ptr<RouterHeartbeat> heartbeat_;
  OwnEndpoints ownEndpoints_;
  std::unique_ptr<OperatorApi> operatorApi_;
  std::unique_ptr<ForwardRole> forward_;
  control::MetricsServer metricsServer_;
  RouterShutdown shutdown_;
  TrafficLog trafficLog_;
  transport::Timer tick_;

  int64_t minimumRevision_ = 0;
};

RouterTask::RouterTask(EventLoop& aLoop,
                       const settings::Settings& aSettings,
                       const ForwardDialect& aDialect,
                       std::function<void(absl::Status)> aOnStopped)
  : state_(std::make_unique<State>(aLoop,
                                   aSettings,
                                   aDialect,
                                   std::move(aOnStopped)))
{
}

RouterTask::~RouterTask() = default;

absl::Status
RouterTask::Start()
{
  return state_->Start();
}

void
RouterTask::Reload(const settings::Settings& aSettings)
{
  state_->control_->SetReplicas(
    aSettings.GetAddresses(settings::kRouterControl));
}

void
RouterTask::Drain()
{
  state_->shutdown_.Begin(EventLoop::NowMs());
}

} // namespace cactuswick::router

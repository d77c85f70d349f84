#include "cactuswick/control/process/ControlTask.h"

#include <algorithm>
#include <chrono>
#include <ctime>
#include <utility>

#include "cactuswick/control/process/CallerMetrics.h"
#include "cactuswick/control/process/DataFolder.h"
#include "cactuswick/control/process/MetricsServer.h"
#include "cactuswick/telemetry/process/Log.h"
#include "cactuswick/telemetry/process/Metrics.h"
#include "cactuswick/transport/connection/PeerMessageFields.h"
#include "connection/ControlService.h"
#include "connection/LocalCalls.h"
#include "connection/MemberLinks.h"
#include "process/EndpointRelay.h"
#include "process/Membership.h"
#include "process/PartQuarantine.h"
#include "process/PrefillRelay.h"
#include "process/ReplicaDriver.h"
#include "process/LoopMonitor.h"
#include "process/StreamDirectory.h"
#include "process/VersionAdmission.h"
#include "version/EntryPoints.h"
#include "version/RouterPresence.h"

namespace cactuswick::control {

namespace {

using model::Concat;
using telemetry::Counter;
using telemetry::Gauge;
using telemetry::Level;
using telemetry::Log;
using telemetry::Part;
using telemetry::Summary;
using transport::EventLoop;

constexpr int64_t kTickMs = 20;
constexpr int64_t kMsPerSecond = 1'000;
/// Interval at which the leader reports the connected routers to the other
/// replicas.
constexpr int64_t kLivenessIntervalMs = 400;
/// Fraction of the shortest election timeout, as a divisor, from which a delay
/// of the event loop is reported.
constexpr int64_t kDelayThresholdDivisor = 4;

/// Returns the CPU time that this thread has used.
int64_t
ThreadCpuMs()
{
  timespec used{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::seconds(used.tv_sec) +
           std::chrono::nanoseconds(used.tv_nsec))
    .count();
}

} // namespace

struct ControlTask::State
{
  State(EventLoop& aLoop,
        const settings::Settings& aSettings,
        std::function<void(absl::Status)> aOnFatal)
    : loop_(aLoop)
    , settings_(aSettings)
    , onFatal_(std::move(aOnFatal))
    , loopMonitor_({ .intervalMs_ = kTickMs,
                     .thresholdMs_ = aSettings.Get(settings::kElectionMs) /
                                     kDelayThresholdDivisor })
    , tick_(aLoop, [this] { OnTick(); })
    , metricsServer_(aLoop, [this] { return ExposeMetrics(); })
    , driver_(aLoop, DriverOptions())
  {
    CountCuts(aLoop.Callers(), metrics_);
  }

  ReplicaDriverOptions DriverOptions()
  {
    return {
      .settings_ = settings_,
      .autoPromote_ = !IsAutomatic(),
      .metrics_ = metrics_,
      .send_ =
        [this](const std::vector<ledger::Envelope>& aMessages) {
          links_->SendRaftMessages(aMessages);
        },
      .onApplied_ =
        [this](const ledger::Entry& aEntry, const ledger::Reply& aReply) {
          OnApplied(aEntry, aReply);
        },
      .onCommitted_ = [this] { service_->PushConfig(); },
      .onInstalled_ = [this] { LoadRetiredEndpoints(); },
      .onRead_ =
        [this](int64_t aRead, bool aReady) {
          aReady ? service_->OnReadReady(aRead) : service_->OnReadFailed(aRead);
        },
      .onLeadership_ = [this] { OnLeadershipChange(); },
      .onFatal_ = [this](absl::Status aStatus) { onFatal_(std::move(aStatus)); }
    };
  }

  absl::Status Start()
  {
    absl::Status folder = EnsureDataFolder(settings_);
    if (!folder.ok()) {
      return folder;
    }
    absl::Status status = driver_.Open();
    if (!status.ok()) {
      return status;
    }
    MakeService();
    MakeMembership();
    MakeQuarantine();
    MakePrefillRelay();
    MakeStreamVersions();
    LoadRetiredEndpoints();
    status = listener_->Listen(settings_.GetAddress(settings::kControlListen));
    if (status.ok() &&
        !settings_.Get(settings::kControlMetricsListen).empty()) {
      status = metricsServer_.Listen(
        settings_.GetAddress(settings::kControlMetricsListen));
    }
    if (!status.ok()) {
      return status;
    }
    tick_.StartRepeating(kTickMs);
    Log(Part::kControl,
        Level::kInfo,
        Concat("replica ",
               driver_.Id(),
               " started at log entry ",
               driver_.Replica().Log().LastIndex(),
               ", snapshot ",
               driver_.Applied()));
    return absl::OkStatus();
  }

  void LoadRetiredEndpoints()
  {
    for (const auto& [endpoint, retired] : driver_.Ledger().Retired()) {
      relay_->OnRetired({ endpoint, retired.incarnation_ });
    }
  }

  void MakeService()
  {
    listener_ = std::make_unique<transport::PeerListener>(
      loop_,
      transport::PeerListenerOptions{
        .onMessage_ =
          [this](LinkId aLink, const transport::PeerMessage& aMessage) {
            OnMessage(aLink, aMessage);
          },
        .onDown_ = [this](LinkId aLink) { service_->OnLinkDown(aLink); } });
    relay_ = std::make_unique<EndpointRelay>(EndpointRelayOptions{
      .sendToReplicas_ =
        [this](const transport::PeerMessage& aMessage) {
          links_->SendToAll(aMessage);
        },
      .sendToRouters_ =
        [this](const transport::PeerMessage& aMessage) {
          service_->PushToRouters(aMessage);
        },
      .onChanged_ = [this] { admission_->OnEndpointsChanged(); } });
    links_ = std::make_unique<MemberLinks>(
      loop_,
      MemberLinksOptions{
        .from_ = settings_.GetAddress(settings::kControlListen).host_,
        .onMessage_ =
          [this](const transport::PeerMessage& aMessage) {
            OnMessage(0, aMessage);
          },
        .sendOnLink_ =
          [this](LinkId aLink, const transport::PeerMessage& aMessage) {
            listener_->Send(aLink, aMessage);
          } });
    service_ = std::make_unique<ControlService>(ControlServiceOptions{
      .ledger_ = driver_.Ledger(),
      .replica_ = driver_.Replica(),
      .send_ =
        [this](LinkId aLink, const transport::PeerMessage& aMessage) {
          Answer(aLink, aMessage);
        },
      .sendEncoded_ =
        [this](LinkId aLink, const transport::EncodedMessage& aMessage) {
          Push(aLink, aMessage);
        },
      .scheduleFlush_ = [this] { driver_.ScheduleFlush(); },
      .waiting_ = [this] { return membership_->Waiting(EventLoop::NowMs()); },
      .endpoints_ = [this] { return relay_->All(EventLoop::NowMs()); },
      .pendingBytes_ =
        [this](LinkId aLink) { return listener_->PendingBytes(aLink); } });
  }

  void MakeMembership()
  {
    membership_ = std::make_unique<Membership>(MembershipOptions{
      .replica_ = driver_.Replica(),
      .self_ = { driver_.Id(),
                 OwnAddress(),
                 settings_.Get(settings::kFailureDomain),
                 false },
      .wantedVoters_ =
        static_cast<size_t>(2 * settings_.Get(settings::kToleratedVms) + 1),
      .automatic_ = IsAutomatic(),
      .seeds_ = SeedsOf(settings_),
      .sendJoinRequest_ =
        [this](const std::string& aAddress, const ledger::Member& aSelf) {
          links_->SendJoinRequest(aAddress, aSelf);
        },
      .send_ =
        [this](const std::string& aId, const transport::PeerMessage& aMessage) {
          links_->Send(aId, aMessage);
        },
      .onCaughtUp_ =
        [this](int64_t aMs) {
          metrics_.Observe(telemetry::Summary::kCatchUpMs,
                           static_cast<double>(aMs));
        } });
  }

  void MakeQuarantine()
  {
    quarantine_ = std::make_unique<PartQuarantine>(PartQuarantineOptions{
      .crashes_ = settings_.Get(settings::kQuarantineCrashes),
      .windowMs_ = settings_.Get(settings::kQuarantineWindowS) * kMsPerSecond,
      .probeIntervalMs_ =
        settings_.Get(settings::kQuarantineProbeS) * kMsPerSecond,
      .ledger_ = driver_.Ledger(),
      .metrics_ = metrics_,
      .propose_ =
        [this](ledger::Command aCommand) {
          service_->On(kLocalLink,
                       transport::ProposeRequest{ 0, std::move(aCommand) });
        },
      .sendToRouters_ =
        [this](const transport::PeerMessage& aMessage) {
          service_->PushToRouters(aMessage);
        } });
  }

  void MakePrefillRelay()
  {
    prefill_ = std::make_unique<PrefillRelay>(PrefillRelayOptions{
      .intervalMs_ = settings_.Get(settings::kForwardPrefillIntervalMs),
      .routers_ = [this] { return service_->ConnectedRouters().size(); },
      .sendToRouters_ =
        [this](const transport::EncodedMessage& aMessage) {
          service_->PushToRouters(aMessage);
        } });
  }

  void MakeStreamVersions()
  {
    admission_ = std::make_unique<VersionAdmission>(VersionAdmissionOptions{
      .ledger_ = driver_.Ledger(),
      .announced_ = [this] { return relay_->Origins(); },
      .propose_ =
        [this](ledger::Command aCommand) {
          service_->On(kLocalLink,
                       transport::ProposeRequest{ 0, std::move(aCommand) });
        } });
    streams_ = std::make_unique<StreamDirectory>(StreamDirectoryOptions{
      .sendToReplicas_ = [this](const transport::PeerMessage& aMessage) {
        links_->SendToAll(aMessage);
      } });
  }

  bool IsAutomatic() const
  {
    return !settings_.Get(settings::kControlSeeds).empty();
  }

  /// Returns the peer addresses of the other replicas that the settings name.
  static std::vector<std::string> SeedsOf(const settings::Settings& aSettings)
  {
    std::vector<std::string> seeds;
    for (const auto& replica : aSettings.GetReplicas()) {
      if (replica.vm_ != aSettings.Get(settings::kVm)) {
        seeds.push_back(replica.address_.ToString());
      }
    }
    for (const auto& address : SeedAddresses(aSettings)) {
      seeds.push_back(address.ToString());
    }
    return seeds;
  }

  void Push(LinkId aLink, const transport::EncodedMessage& aMessage)
  {
    const auto bytes = static_cast<int64_t>(aMessage.Bytes().size());
    loopMonitor_.OnSent(bytes);
    metrics_.Count(Counter::kPushedBytes, bytes);
    listener_->Send(aLink, aMessage);
  }

  void Answer(LinkId aLink, const transport::PeerMessage& aMessage)
  {
    if (aLink != kLocalLink) {
      listener_->Send(aLink, aMessage);
      return;
    }
    // Deferred, as the caller may still be inside the call that is answered.
    loop_.Defer([this, aMessage] { localCalls_.Deliver(aMessage); });
  }

  void OnTick()
  {
    const int64_t now = EventLoop::NowMs();
    MonitorLoop(now);
    ReportLeaderBytes(now);
    driver_.Replica().Tick(now);
    // Scheduled before OnTurn, so that heartbeats go out before pushes.
    driver_.ScheduleFlush();
    DialMembers();
    membership_->OnTick(now);
    relay_->OnTick(driver_.IsLeader(), now);
    quarantine_->OnTick(driver_.IsLeader(), now);
    prefill_->OnTick(driver_.IsLeader(), now);
    admission_->OnTick(driver_.IsLeader(), now);
    streams_->OnTick(now);
    localCalls_.Expire(now);
    loop_.Defer([this] { service_->OnTurn(); });
    if (now - lastLivenessMs_ >= kLivenessIntervalMs) {
      lastLivenessMs_ = now;
      BroadcastLiveness(now);
    }
  }

  /// Counts a partially received message of the leader as contact with it, so
  /// that a large message does not cause an election while it arrives.
  void ReportLeaderBytes(int64_t aNowMs)
  {
    ledger::Replica& replica = driver_.Replica();
    const auto link = links_->InboundLinkOf(replica.LeaderId());
    if (!link) {
      return;
    }
    const auto activity = listener_->Activity(*link);
    if (activity.partialBytes_ > 0) {
      replica.LeaderBytesReceived(aNowMs - activity.sinceReceiveMs_);
    }
  }

  void MonitorLoop(int64_t aNowMs)
  {
    const auto report = loopMonitor_.OnTick(aNowMs, ThreadCpuMs());
    metrics_.Observe(Summary::kLoopIterationMs,
                     static_cast<double>(loopMonitor_.LastDelayMs()));
    if (report) {
      Log(Part::kControl,
          Level::kWarning,
          Concat("event loop delayed ",
                 Describe(*report),
                 " leads=",
                 driver_.IsLeader() ? 1 : 0));
    }
  }

  void BroadcastLiveness(int64_t aNowMs)
  {
    if (presence_.IsAuthoritative(aNowMs)) {
      links_->SendToAll(
        transport::RouterLiveness{ service_->ConnectedRouters() });
    }
    if (driver_.IsLeader()) {
      service_->PushMembers();
    }
  }

  /// Handles a message of the replicated log and records who sent a newer term,
  /// for the log line about lost leadership.
  void OnRaft(LinkId aLink, const transport::RaftEnvelope& aMessage)
  {
    links_->RecordInboundLink(aMessage.message_, aLink);
    const ledger::Term termBefore = driver_.Replica().CurrentTerm();
    driver_.Replica().Receive(aMessage.message_, EventLoop::NowMs());
    if (driver_.Replica().CurrentTerm() > termBefore) {
      newTermSender_ = std::visit([](const auto& aOne) { return aOne.from_; },
                                  aMessage.message_);
    }
    driver_.ScheduleFlush();
  }

  void OnMessage(LinkId aLink, const transport::PeerMessage& aMessage)
  {
    loopMonitor_.OnMessageHandled(
      std::visit([](const auto& aOne) { return TypeNameOf(&aOne); }, aMessage));
    if (const auto* raft = std::get_if<transport::RaftEnvelope>(&aMessage)) {
      // A replica that was recreated at the same address has another id;
      // messages for the old one are dropped.
      if (raft->to_ == driver_.Id()) {
        OnRaft(aLink, *raft);
      }
      return;
    }
    const int64_t now = EventLoop::NowMs();
    if (const auto* join = std::get_if<transport::JoinRequest>(&aMessage)) {
      membership_->On(*join, now);
      return;
    }
    if (const auto* gossip = std::get_if<transport::Gossip>(&aMessage)) {
      OnGossip(aLink, *gossip, now);
      return;
    }
    if (const auto* live = std::get_if<transport::RouterLiveness>(&aMessage)) {
      presence_.OnLeaderReport(live->connected_, now);
      return;
    }
    if (const auto* crash = std::get_if<transport::CrashEvidence>(&aMessage)) {
      quarantine_->On(*crash, now);
      return;
    }
    std::visit(
      [&](const auto& aOne) {
        if constexpr (requires { service_->On(aLink, aOne); }) {
          service_->On(aLink, aOne);
        }
      },
      aMessage);
  }

  void OnGossip(LinkId aLink, const transport::Gossip& aGossip, int64_t aNowMs)
  {
    relay_->OnGossip(aGossip, aNowMs);
    prefill_->OnGossip(aGossip, aNowMs);
    auto answer = streams_->OnGossip(aGossip, aNowMs);
    if (answer && driver_.IsLeader()) {
      Answer(aLink, transport::Gossip{ .streams_ = std::move(answer) });
    }
  }

  void OnLeadershipChange()
  {
    metrics_.Count(Counter::kElections);
    const ledger::Term term = driver_.Replica().CurrentTerm();
    Log(
      Part::kControl,
      Level::kInfo,
      driver_.IsLeader()
        ? Concat("became leader in term ", term)
        : Concat("lost leadership in term ", term, LeadershipLossReason(term)));
    presence_.OnLeadershipChange(driver_.IsLeader(), EventLoop::NowMs());
    if (driver_.IsLeader()) {
      lastLedTerm_ = term;
    } else {
      service_->OnLeadershipLost();
    }
  }

  std::string LeadershipLossReason(ledger::Term aTerm)
  {
    const ledger::Replica& replica = driver_.Replica();
    std::string reason = aTerm > lastLedTerm_
                           ? Concat(": newer term from=", newTermSender_)
                           : ": no contact with a quorum";
    model::AppendTo(reason, " led_term=", lastLedTerm_, " silent_ms=");
    std::string_view separator;
    for (const auto& member : replica.Members()) {
      model::AppendTo(
        reason, separator, member.id_, ":", replica.MsSinceContact(member.id_));
      separator = ",";
    }
    return reason;
  }

  void OnApplied(const ledger::Entry& aEntry, const ledger::Reply& aReply)
  {
    service_->OnApplied(aEntry, aReply);
    const ledger::Command& command = aEntry.command_;
    if (const auto* retired = std::get_if<ledger::RetireEndpoint>(&command)) {
      relay_->OnRetired(*retired);
    }
    const bool accepted = std::holds_alternative<ledger::Accepted>(aReply);
    const auto* started = std::get_if<ledger::StartEvacuation>(&command);
    if (started != nullptr && accepted) {
      LogEvacuation("started", started->failureDomain_);
    }
    const auto* finished = std::get_if<ledger::FinishEvacuation>(&command);
    if (finished != nullptr && accepted) {
      LogEvacuation("finished", finished->failureDomain_);
    }
    if (std::holds_alternative<ledger::ReplaceDeployment>(command)) {
      Log(Part::kControl,
          Level::kInfo,
          Concat("deployment in force version=",
                 driver_.Ledger().Deployment().version_,
                 " revision=",
                 driver_.Ledger().Revision()));
    }
  }

  void LogEvacuation(std::string_view aStep, const std::string& aDomain) const
  {
    Log(Part::kControl,
        Level::kInfo,
        Concat("evacuation ",
               aStep,
               " domain=",
               aDomain,
               " revision=",
               driver_.Ledger().Revision(),
               " evacuated=",
               driver_.Ledger().Evacuations().size()));
  }

  void DialMembers()
  {
    const ledger::Replica& replica = driver_.Replica();
    if (!replica.LeaderId().empty()) {
      links_->CloseNonMembers(replica.Members());
    }
    for (const auto& member : replica.Members()) {
      if (member.id_ != driver_.Id()) {
        links_->Dial(member.id_, member.address_);
      }
    }
  }

  /// Returns the address at which other replicas reach this one: the one in the
  /// replicas list if it is listed, else its own listen address.
  std::string OwnAddress() const
  {
    for (const auto& replica : settings_.GetReplicas()) {
      if (replica.vm_ == settings_.Get(settings::kVm)) {
        return replica.address_.ToString();
      }
    }
    return settings_.Get(settings::kControlListen);
  }

  std::string ExposeMetrics()
  {
    const auto& members = driver_.Replica().Members();
    const auto voters =
      std::count_if(members.begin(), members.end(), [](const auto& aMember) {
        return aMember.voter_;
      });
    metrics_.Set(Gauge::kVoters, voters);
    metrics_.Set(Gauge::kLearners,
                 static_cast<int64_t>(members.size()) - voters);
    metrics_.Set(Gauge::kLeader, driver_.IsLeader() ? 1 : 0);
    metrics_.Set(Gauge::kTerm, driver_.Replica().CurrentTerm());
    metrics_.Set(Gauge::kCommitIndex, driver_.Replica().CommitIndex());
    metrics_.Set(Gauge::kPendingPrefillTokens, prefill_->BusiestTokens());
    metrics_.Set(Gauge::kConfigRevision, driver_.Ledger().Revision());
    metrics_.Set(Gauge::kSettledKeys,
                 static_cast<int64_t>(driver_.Ledger().SettledKeyCount()));
    metrics_.Set(Gauge::kQuarantinedParts,
                 static_cast<int64_t>(driver_.Ledger().Quarantine().size()));
    metrics_.Set(Gauge::kEvacuatedDomains,
                 static_cast<int64_t>(driver_.Ledger().Evacuations().size()));
    SetHeldGauges(loop_.Callers().Budget(), metrics_);
    return metrics_.Expose();
  }

  EventLoop& loop_;
  const settings::Settings& settings_;
  std::function<void(absl::Status)> onFatal_;
  telemetry::Metrics metrics_;

  LoopMonitor loopMonitor_;
  ledger::Term lastLedTerm_ = 0;
  std::string newTermSender_;
  int64_t lastLivenessMs_ = 0;
  RouterPresence presence_;

  transport::Timer tick_;
  MetricsServer metricsServer_;
  std::unique_ptr<transport::PeerListener> listener_;
  std::unique_ptr<ControlService> service_;
  std::unique_ptr<MemberLinks> links_;
  std::unique_ptr<EndpointRelay> relay_;
  std::unique_ptr<Membership> membership_;
  std::unique_ptr<PartQuarantine> quarantine_;
  std::unique_ptr<PrefillRelay> prefill_;
  std::unique_ptr<VersionAdmission> admission_;
  std::unique_ptr<StreamDirectory> streams_;
  LocalCalls localCalls_;
  ReplicaDriver driver_;
};

ControlTask::ControlTask(EventLoop& aLoop,
                         const settings::Settings& aSettings,
                         std::function<void(absl::Status)> aOnFatal)
  : state_(std::make_unique<State>(aLoop, aSettings, std::move(aOnFatal)))
{
}

ControlTask::~ControlTask() = default;

absl::Status
ControlTask::Start()
{
  return state_->Start();
}

void
ControlTask::Reload(const settings::Settings& aSettings)
{
  state_->membership_->SetSeeds(State::SeedsOf(aSettings));
}

void
ControlTask::Propose(ledger::Command aCommand, ReplyHook aHook)
{
  const auto call =
    state_->localCalls_.Open(std::move(aHook), EventLoop::NowMs());
  state_->service_->On(kLocalLink,
                       transport::ProposeRequest{ call, std::move(aCommand) });
}

void
ControlTask::ReadDeployment(QueryHook aHook)
{
  const auto call =
    state_->localCalls_.Open(std::move(aHook), EventLoop::NowMs());
  state_->service_->On(
    kLocalLink,
    transport::QueryRequest{ call, transport::QueryType::kDeployment, "" });
}

void
ControlTask::OnAnnouncement(const model::Announcement& aAnnouncement)
{
  state_->relay_->OnAnnouncement(aAnnouncement, EventLoop::NowMs());
}

bool
ControlTask::IsRetired(const std::string& aEndpoint, int64_t aIncarnation) const
{
  const auto& retired = state_->driver_.Ledger().Retired();
  const auto found = retired.find(aEndpoint);
  return found != retired.end() && aIncarnation <= found->second.incarnation_;
}

std::optional<int64_t>
ControlTask::KnownIncarnation(const std::string& aEndpoint) const
{
  return state_->relay_->KnownIncarnation(aEndpoint);
}

bool
ControlTask::IsLeader() const
{
  return state_->driver_.IsLeader();
}

std::string
ControlTask::LeaderHost() const
{
  const auto& replica = state_->driver_.Replica();
  for (const auto& member : replica.Members()) {
    if (member.id_ == replica.LeaderId()) {
      return transport::ParseAddress("", member.address_)
        .value_or(transport::Address{})
        .host_;
    }
  }
  return {};
}

std::vector<std::string>
ControlTask::EntryPointAddresses(const std::string& aFailureDomain) const
{
  return control::EntryPointAddresses(
    { .routers_ = state_->driver_.Ledger().Routers(),
      .connected_ = state_->presence_.Connected(
        state_->service_->ConnectedRouters(), EventLoop::NowMs()),
      .failureDomain_ = aFailureDomain });
}

} // namespace cactuswick::control

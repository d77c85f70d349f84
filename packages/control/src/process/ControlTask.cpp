#include "cactuswick/control/process/ControlTask.h"

#include <deque>
#include <fstream>
#include <optional>
#include <set>
#include <utility>

#include "cactuswick/control/process/DataFolder.h"
#include "cactuswick/control/process/MetricsServer.h"
#include "cactuswick/control/process/SnapshotTask.h"
#include "cactuswick/control/process/StorageTask.h"
#include "cactuswick/model/process/Hash.h"
#include "cactuswick/telemetry/process/Log.h"
#include "cactuswick/telemetry/process/Metrics.h"
#include "connection/ControlService.h"
#include "connection/LocalCalls.h"
#include "connection/MemberLinks.h"
#include "process/EndpointRelay.h"
#include "process/Membership.h"
#include "version/EntryList.h"

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
/// Interval at which a leader tells the others of connected routers.
constexpr int64_t kLivenessMs = 400;
/// A leader's word on connected routers counts for this long; a new leader
/// waits as long before it has one.
constexpr int64_t kLivenessValidMs = 2'500;

/// Reads a range of the snapshot file for a follower.
std::string
ReadSnapshotBytes(const std::string& aDirectory,
                  int64_t aOffset,
                  int64_t aBytes)
{
  std::ifstream stream(ledger::SnapshotPath(aDirectory), std::ios::binary);
  stream.seekg(aOffset);
  std::string bytes(static_cast<size_t>(aBytes), '\0');
  stream.read(bytes.data(), aBytes);
  bytes.resize(static_cast<size_t>(stream.gcount()));
  return bytes;
}

/// Messages that wait for a write to be durable.
struct PendingSync
{
  int64_t token_ = 0;
  ledger::Index lastIndex_ = 0;
  ledger::Term lastTerm_ = 0;
  int64_t sentMs_ = 0;
  std::vector<ledger::Envelope> messages_;
};

} // namespace

struct ControlTask::State
{
  State(EventLoop& aLoop,
        const settings::Settings& aSettings,
        std::function<void(absl::Status)> aOnFatal)
    : loop_(aLoop)
    , settings_(aSettings)
    , directory_(aSettings.Get(settings::kControlDataDir))
    , onFatal_(std::move(aOnFatal))
    , tick_(aLoop, [this] { OnTick(); })
    , synced_(aLoop,
              [this](const StorageSynced& aSynced) { OnSynced(aSynced); })
    , snapshotWritten_(aLoop,
                       [this](const SnapshotWritten& aWritten) {
                         OnSnapshotWritten(aWritten);
                       })
    , metricsServer_(aLoop, [this] { return ExposeMetrics(); })
  {
  }

  absl::Status Start()
  {
    absl::Status folder = EnsureDataFolder(settings_);
    if (!folder.ok()) {
      return folder;
    }
    ledger::Recovered recovered;
    auto store = ledger::LogStore::Open(directory_, recovered);
    if (!store.ok()) {
      return store.status();
    }
    ledger::Ledger shadow;
    const auto header = ledger::ReadSnapshot(directory_, shadow);
    if (!header.ok()) {
      return header.status();
    }
    ledger_ = shadow;
    applied_ = header->lastIndex_;
    id_ = recovered.identity_.id_;
    MakeReplica(recovered, *header);
    MakeService();
    MakeMembership();
    for (const auto& [endpoint, retired] : ledger_.Retired()) {
      relay_->OnRetired({ endpoint, retired.incarnation_ });
    }
    StartSnapshots(std::move(shadow), *header);
    storage_ = std::make_unique<StorageTask>(
      *std::move(store),
      [this](StorageSynced aSynced) { synced_.Send(std::move(aSynced)); });
    absl::Status status =
      listener_->Listen(settings_.GetAddress(settings::kControlListen));
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
               id_,
               " starts at entry ",
               replica_->Log().LastIndex(),
               ", snapshot ",
               applied_));
    return absl::OkStatus();
  }

  void MakeReplica(const ledger::Recovered& aRecovered,
                   const ledger::SnapshotHeader& aHeader)
  {
    const int64_t election = settings_.Get(settings::kElectionMs);
    const bool fresh = aHeader.lastIndex_ == 0;
    replica_ = std::make_unique<ledger::Replica>(
      ledger::ReplicaOptions{
        .id_ = id_,
        .heartbeatMs_ = settings_.Get(settings::kHeartbeatMs),
        .electionMinMs_ = election,
        .electionMaxMs_ = 2 * election,
        .promotesCaughtUp_ = !IsAutomatic(),
        .seed_ = model::Hash64(id_),
        .readSnapshot_ =
          [this](int64_t aOffset, int64_t aBytes) {
            return ReadSnapshotBytes(directory_, aOffset, aBytes);
          } },
      ledger::ReplicaStart{ .startMs_ = EventLoop::NowMs(),
                            .hardState_ = aRecovered.hardState_,
                            .snapshotIndex_ = aHeader.lastIndex_,
                            .snapshotTerm_ = aHeader.lastTerm_,
                            .snapshotTimeMs_ = aHeader.lastTimeMs_,
                            .members_ = fresh ? aRecovered.identity_.members_
                                              : aHeader.members_,
                            .entries_ = aRecovered.entries_ });
    replica_->Tick(EventLoop::NowMs());
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
    relay_ = std::make_unique<EndpointRelay>(
      EndpointRelayOptions{ .toReplicas_ =
                              [this](const transport::PeerMessage& aMessage) {
                                links_->SendToAll(aMessage);
                              },
                            .toRouters_ =
                              [this](const transport::PeerMessage& aMessage) {
                                service_->PushToRouters(aMessage);
                              } });
    links_ = std::make_unique<MemberLinks>(
      loop_,
      MemberLinksOptions{
        .from_ = settings_.GetAddress(settings::kControlListen).host_,
        .onMessage_ =
          [this](const transport::PeerMessage& aMessage) {
            OnMessage(0, aMessage);
          },
        .answer_ =
          [this](LinkId aLink, const transport::PeerMessage& aMessage) {
            listener_->Send(aLink, aMessage);
          } });
    service_ = std::make_unique<ControlService>(ControlServiceOptions{
      .ledger_ = ledger_,
      .replica_ = *replica_,
      .send_ =
        [this](LinkId aLink, const transport::PeerMessage& aMessage) {
          Answer(aLink, aMessage);
        },
      .flush_ = [this] { ScheduleFlush(); },
      .waiting_ = [this] { return membership_->Waiting(EventLoop::NowMs()); },
      .endpoints_ = [this] { return relay_->All(EventLoop::NowMs()); } });
  }

  void MakeMembership()
  {
    membership_ = std::make_unique<Membership>(MembershipOptions{
      .replica_ = *replica_,
      .self_ = { id_,
                 OwnAddress(),
                 settings_.Get(settings::kFailureDomain),
                 false },
      .wantedVoters_ =
        static_cast<size_t>(2 * settings_.Get(settings::kToleratedVms) + 1),
      .automatic_ = IsAutomatic(),
      .seeds_ = SeedsOf(settings_),
      .askToJoin_ =
        [this](const std::string& aAddress, const ledger::Member& aSelf) {
          links_->AskToJoin(aAddress, aSelf);
        },
      .send_ =
        [this](const std::string& aId, const transport::PeerMessage& aMessage) {
          links_->Send(aId, aMessage);
        } });
  }

  bool IsAutomatic() const
  {
    return !settings_.Get(settings::kControlSeeds).empty();
  }

  /// Peer addresses of other replicas that the settings name.
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

  void Answer(LinkId aLink, const transport::PeerMessage& aMessage)
  {
    if (aLink != kLocalLink) {
      listener_->Send(aLink, aMessage);
      return;
    }
    // From the loop: the caller may still be inside its own call.
    loop_.Defer([this, aMessage] { local_.Deliver(aMessage); });
  }

  void StartSnapshots(ledger::Ledger aShadow,
                      const ledger::SnapshotHeader& aHeader)
  {
    snapshots_ = std::make_unique<SnapshotTask>(SnapshotTaskOptions{
      .directory_ = directory_,
      .everyEntries_ = settings_.Get(settings::kSnapshotEntries),
      .ledger_ = std::move(aShadow),
      .header_ = aHeader,
      .onWritten_ = [this](SnapshotWritten aWritten) {
        snapshotWritten_.Send(std::move(aWritten));
      } });
  }

  void OnTick()
  {
    const int64_t now = EventLoop::NowMs();
    replica_->Tick(now);
    DialMembers();
    membership_->OnTick(now);
    relay_->OnTick(wasLeader_, now);
    local_.Expire(now);
    ScheduleFlush();
    if (now - lastLivenessMs_ >= kLivenessMs) {
      lastLivenessMs_ = now;
      SpreadLiveness();
    }
  }

  void SpreadLiveness()
  {
    if (wasLeader_) {
      links_->SendToAll(
        transport::RouterLiveness{ service_->ConnectedRouters() });
      service_->PushMembers();
    }
  }

  /// Routers that are connected to the leader, if that is known.
  std::optional<std::set<ledger::Incarnation>> ConnectedRouters() const
  {
    const int64_t now = EventLoop::NowMs();
    if (wasLeader_ && now - leadsSinceMs_ >= kLivenessValidMs) {
      const auto connected = service_->ConnectedRouters();
      return std::set(connected.begin(), connected.end());
    }
    if (now - livenessHeardMs_ <= kLivenessValidMs) {
      return std::set(liveness_.begin(), liveness_.end());
    }
    return std::nullopt;
  }

  void OnMessage(LinkId aLink, const transport::PeerMessage& aMessage)
  {
    if (const auto* raft = std::get_if<transport::RaftEnvelope>(&aMessage)) {
      // A folder made anew at the same address is another replica.
      if (raft->to_ == id_) {
        links_->NoteSender(raft->message_, aLink);
        replica_->Receive(raft->message_, EventLoop::NowMs());
        ScheduleFlush();
      }
      return;
    }
    const int64_t now = EventLoop::NowMs();
    if (const auto* join = std::get_if<transport::JoinRequest>(&aMessage)) {
      membership_->On(*join, now);
      return;
    }
    if (const auto* gossip = std::get_if<transport::Gossip>(&aMessage)) {
      relay_->OnGossip(*gossip, now);
      return;
    }
    if (const auto* live = std::get_if<transport::RouterLiveness>(&aMessage)) {
      liveness_ = live->connected_;
      livenessHeardMs_ = now;
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

  /// Carries out effects once per turn of the loop, so that everything that
  /// came together shares one write and one message per follower.
  void ScheduleFlush()
  {
    if (!std::exchange(flushScheduled_, true)) {
      loop_.Defer([this] { Flush(); });
    }
  }

  void Flush()
  {
    flushScheduled_ = false;
    const bool led = wasLeader_;
    ledger::Effects effects = replica_->Take();
    wasLeader_ = replica_->Role() == ledger::ReplicaRole::kLeader;
    links_->SendAll(effects.sendNow_);
    // The snapshot is durable before its receipt is acknowledged.
    if (effects.install_ && !Install(*effects.install_)) {
      // Not acknowledged, so the leader sends it again from its start.
      std::erase_if(effects.sendAfterSync_, [](const auto& aEnvelope) {
        return std::holds_alternative<ledger::SnapshotReply>(
          aEnvelope.message_);
      });
    }
    Persist(effects);
    ApplyCommitted();
    for (const auto read : effects.readsReady_) {
      service_->OnReadReady(read);
    }
    for (const auto read : effects.readsFailed_) {
      service_->OnReadFailed(read);
    }
    if (led != wasLeader_) {
      OnLeadershipChange();
    }
  }

  void OnLeadershipChange()
  {
    metrics_.Count(Counter::kElections);
    Log(Part::kControl,
        Level::kInfo,
        Concat(wasLeader_ ? "leads" : "leads no more",
               " in term ",
               replica_->CurrentTerm()));
    leadsSinceMs_ = EventLoop::NowMs();
    if (!wasLeader_) {
      service_->OnLeadershipLost();
    }
  }

  void Persist(ledger::Effects& aEffects)
  {
    if (aEffects.NeedsPersisting()) {
      PendingSync pending{ .token_ = ++lastToken_,
                           .lastIndex_ = replica_->Log().LastIndex(),
                           .lastTerm_ = replica_->Log().LastTerm(),
                           .sentMs_ = EventLoop::NowMs(),
                           .messages_ = std::move(aEffects.sendAfterSync_) };
      storage_->Write({ .frame_ = { aEffects.hardState_,
                                    aEffects.truncateFrom_,
                                    std::move(aEffects.persist_) },
                        .token_ = lastToken_ });
      syncs_.push_back(std::move(pending));
    } else if (syncs_.empty()) {
      links_->SendAll(aEffects.sendAfterSync_);
    } else {
      auto& waiting = syncs_.back().messages_;
      waiting.insert(waiting.end(),
                     aEffects.sendAfterSync_.begin(),
                     aEffects.sendAfterSync_.end());
    }
  }

  void OnSynced(const StorageSynced& aSynced)
  {
    if (!aSynced.status_.ok()) {
      onFatal_(aSynced.status_);
      return;
    }
    metrics_.Count(Counter::kLogSyncs);
    metrics_.Observe(Summary::kSyncMs, aSynced.syncMs_);
    metrics_.Observe(Summary::kWritesPerSync,
                     static_cast<double>(aSynced.writes_));
    while (!syncs_.empty() && syncs_.front().token_ <= aSynced.token_) {
      const PendingSync done = std::move(syncs_.front());
      syncs_.pop_front();
      replica_->Persisted(done.lastIndex_, done.lastTerm_);
      links_->SendAll(done.messages_);
      metrics_.Observe(Summary::kCommitMs,
                       static_cast<double>(EventLoop::NowMs() - done.sentMs_));
    }
    ScheduleFlush();
  }

  void ApplyCommitted()
  {
    std::vector<ledger::Entry> entries;
    while (applied_ < replica_->CommitIndex()) {
      const ledger::Entry& entry = replica_->Log().At(++applied_);
      const ledger::Reply reply = ledger_.Apply(entry.command_, entry.timeMs_);
      service_->OnApplied(entry, reply);
      OnApplied(entry.command_);
      entries.push_back(entry);
    }
    if (entries.empty()) {
      return;
    }
    metrics_.Count(Counter::kLogEntriesCommitted,
                   static_cast<int64_t>(entries.size()));
    snapshots_->Apply(std::move(entries));
    service_->PushConfig();
  }

  void OnApplied(const ledger::Command& aCommand)
  {
    if (const auto* retired = std::get_if<ledger::RetireEndpoint>(&aCommand)) {
      relay_->OnRetired(*retired);
    }
    if (std::holds_alternative<ledger::ReplaceDeployment>(aCommand)) {
      Log(Part::kControl,
          Level::kInfo,
          Concat("deployment in force version=",
                 ledger_.Deployment().version_,
                 " revision=",
                 ledger_.Revision()));
    }
  }

  void OnSnapshotWritten(const SnapshotWritten& aWritten)
  {
    if (!aWritten.status_.ok()) {
      // The log still holds everything; the next snapshot tries again.
      Log(Part::kStorage,
          Level::kWarning,
          Concat("no snapshot: ", std::string(aWritten.status_.message())));
      return;
    }
    metrics_.Count(Counter::kSnapshots);
    Log(Part::kStorage,
        Level::kInfo,
        Concat("snapshot at entry ",
               aWritten.index_,
               " written: ",
               aWritten.bytes_,
               " bytes"));
    replica_->SnapshotWritten(
      aWritten.index_, aWritten.index_ - settings_.Get(settings::kKeptEntries));
    RewriteLog();
  }

  void RewriteLog()
  {
    const auto& log = replica_->Log();
    const auto count = static_cast<size_t>(log.LastIndex() - log.BaseIndex());
    PendingSync pending{ .token_ = ++lastToken_,
                         .lastIndex_ = log.LastIndex(),
                         .lastTerm_ = log.LastTerm(),
                         .sentMs_ = EventLoop::NowMs() };
    storage_->Write({ .frame_ = { replica_->Hard(),
                                  std::nullopt,
                                  log.Slice(log.BaseIndex() + 1, count) },
                      .rewrite_ = true,
                      .token_ = lastToken_ });
    syncs_.push_back(std::move(pending));
  }

  /// Replaces the whole state by a snapshot from the leader; false when what
  /// came is not whole.
  bool Install(const ledger::ReceivedSnapshot& aSnapshot)
  {
    ledger::Ledger fresh;
    const auto header = ledger::StoreReceivedSnapshot(
      directory_, aSnapshot.bytes_, aSnapshot.lastIndex_, fresh);
    if (!header.ok()) {
      Log(Part::kStorage,
          Level::kWarning,
          Concat("the leader's snapshot is not whole: ",
                 std::string(header.status().message())));
      return false;
    }
    // The writer of own snapshots goes first: both use the same file.
    snapshots_.reset();
    const auto installed = ledger::InstallReceivedSnapshot(directory_);
    if (!installed.ok()) {
      onFatal_(installed);
      return false;
    }
    ledger_ = fresh;
    applied_ = header->lastIndex_;
    replica_->SnapshotInstalled({ .snapshotIndex_ = header->lastIndex_,
                                  .snapshotTerm_ = header->lastTerm_,
                                  .snapshotTimeMs_ = header->lastTimeMs_,
                                  .members_ = header->members_ });
    StartSnapshots(std::move(fresh), *header);
    RewriteLog();
    Log(Part::kStorage,
        Level::kInfo,
        Concat("installed the leader's snapshot at entry ", applied_));
    return true;
  }

  void DialMembers()
  {
    if (!replica_->LeaderId().empty()) {
      links_->KeepOnly(replica_->Members());
    }
    for (const auto& member : replica_->Members()) {
      if (member.id_ != id_) {
        links_->Dial(member.id_, member.address_);
      }
    }
  }

  /// Where others reach this replica: as the replicas list says, if it does.
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
    metrics_.Set(Gauge::kLeader, wasLeader_ ? 1 : 0);
    metrics_.Set(Gauge::kTerm, replica_->CurrentTerm());
    metrics_.Set(Gauge::kCommitIndex, replica_->CommitIndex());
    metrics_.Set(Gauge::kConfigRevision, ledger_.Revision());
    metrics_.Set(Gauge::kSettledKeys,
                 static_cast<int64_t>(ledger_.SettledKeyCount()));
    return metrics_.Expose();
  }

  EventLoop& loop_;
  const settings::Settings& settings_;
  std::string directory_;
  std::function<void(absl::Status)> onFatal_;
  std::string id_;
  telemetry::Metrics metrics_;

  ledger::Ledger ledger_;
  std::unique_ptr<ledger::Replica> replica_;
  ledger::Index applied_ = 0;
  bool wasLeader_ = false;
  bool flushScheduled_ = false;
  int64_t lastToken_ = 0;
  int64_t lastLivenessMs_ = 0;
  int64_t leadsSinceMs_ = 0;
  std::vector<ledger::Incarnation> liveness_;
  int64_t livenessHeardMs_ = -kLivenessValidMs;
  std::deque<PendingSync> syncs_;

  transport::Timer tick_;
  transport::Mailbox<StorageSynced> synced_;
  transport::Mailbox<SnapshotWritten> snapshotWritten_;
  MetricsServer metricsServer_;
  std::unique_ptr<transport::PeerListener> listener_;
  std::unique_ptr<ControlService> service_;
  std::unique_ptr<MemberLinks> links_;
  std::unique_ptr<EndpointRelay> relay_;
  std::unique_ptr<Membership> membership_;
  LocalCalls local_;
  /// Declared last: their threads end before the mailboxes they write to.
  std::unique_ptr<SnapshotTask> snapshots_;
  std::unique_ptr<StorageTask> storage_;
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
  const auto call = state_->local_.Open(std::move(aHook), EventLoop::NowMs());
  state_->service_->On(kLocalLink,
                       transport::ProposeRequest{ call, std::move(aCommand) });
}

void
ControlTask::ReadDeployment(QueryHook aHook)
{
  const auto call = state_->local_.Open(std::move(aHook), EventLoop::NowMs());
  state_->service_->On(
    kLocalLink,
    transport::QueryRequest{ call, transport::QueryType::kDeployment, "" });
}

void
ControlTask::Hear(const model::Announcement& aAnnouncement)
{
  state_->relay_->OnAnnouncement(aAnnouncement, EventLoop::NowMs());
}

bool
ControlTask::IsRetired(const std::string& aEndpoint, int64_t aIncarnation) const
{
  const auto& retired = state_->ledger_.Retired();
  const auto found = retired.find(aEndpoint);
  return found != retired.end() && aIncarnation <= found->second.incarnation_;
}

std::optional<int64_t>
ControlTask::KnownIncarnation(const std::string& aEndpoint) const
{
  return state_->relay_->KnownIncarnation(aEndpoint);
}

bool
ControlTask::Leads() const
{
  return state_->wasLeader_;
}

std::string
ControlTask::LeaderHost() const
{
  const auto& replica = *state_->replica_;
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
ControlTask::EntryAddresses(const std::string& aFailureDomain) const
{
  return control::EntryAddresses({ .routers_ = state_->ledger_.Routers(),
                                   .connected_ = state_->ConnectedRouters(),
                                   .failureDomain_ = aFailureDomain });
}

} // namespace cactuswick::control

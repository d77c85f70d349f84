#include "cactuswick/control/process/ControlTask.h"

#include <deque>
#include <fstream>
#include <utility>

#include "cactuswick/control/process/MetricsServer.h"
#include "cactuswick/control/process/SnapshotTask.h"
#include "cactuswick/control/process/StorageTask.h"
#include "cactuswick/model/process/Hash.h"
#include "cactuswick/telemetry/process/Log.h"
#include "cactuswick/telemetry/process/Metrics.h"
#include "connection/ControlService.h"
#include "connection/MemberLinks.h"

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
constexpr int64_t kJoinIntervalMs = 1'000;
/// Entries kept behind a snapshot for followers that are a little behind.
constexpr ledger::Index kKeptEntries = 2'000;

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
        .seed_ = model::Hash64(id_),
        .readSnapshot_ =
          [this](int64_t aOffset, int64_t aBytes) {
            return ReadSnapshotBytes(directory_, aOffset, aBytes);
          } },
      ledger::ReplicaStart{ .hardState_ = aRecovered.hardState_,
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
          listener_->Send(aLink, aMessage);
        },
      .flush_ = [this] { ScheduleFlush(); } });
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
    replica_->Tick(EventLoop::NowMs());
    DialMembers();
    AskToJoin();
    ScheduleFlush();
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

  void OnSnapshotWritten(const SnapshotWritten& aWritten)
  {
    if (!aWritten.status_.ok()) {
      onFatal_(aWritten.status_);
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
    replica_->SnapshotWritten(aWritten.index_, aWritten.index_ - kKeptEntries);
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
    for (const auto& member : replica_->Members()) {
      if (member.id_ != id_) {
        links_->Dial(member.id_, member.address_);
      }
    }
  }

  /// A replica that is no member makes itself known to those it knows of.
  void AskToJoin()
  {
    const int64_t now = EventLoop::NowMs();
    bool member = false;
    for (const auto& one : replica_->Members()) {
      member = member || one.id_ == id_;
    }
    if (member || now - lastJoinMs_ < kJoinIntervalMs) {
      return;
    }
    lastJoinMs_ = now;
    const ledger::Member self{
      id_, OwnAddress(), settings_.Get(settings::kFailureDomain), false
    };
    for (const auto& replica : settings_.GetReplicas()) {
      if (replica.vm_ != settings_.Get(settings::kVm)) {
        links_->AskToJoin(replica.address_.ToString(), self);
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
  int64_t lastJoinMs_ = 0;
  std::deque<PendingSync> syncs_;

  transport::Timer tick_;
  transport::Mailbox<StorageSynced> synced_;
  transport::Mailbox<SnapshotWritten> snapshotWritten_;
  MetricsServer metricsServer_;
  std::unique_ptr<transport::PeerListener> listener_;
  std::unique_ptr<ControlService> service_;
  std::unique_ptr<MemberLinks> links_;
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

} // namespace cactuswick::control

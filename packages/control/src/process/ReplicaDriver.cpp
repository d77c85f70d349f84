#include "process/ReplicaDriver.h"

#include <memory>
#include <optional>
#include <utility>

#include "cactuswick/model/process/Hash.h"
#include "cactuswick/model/process/Text.h"
#include "cactuswick/telemetry/process/Log.h"

namespace cactuswick::control {

namespace {

using model::Concat;
using telemetry::Counter;
using telemetry::Level;
using telemetry::Log;
using telemetry::Part;
using telemetry::Summary;
using transport::EventLoop;

/// Opens the snapshot in the data folder for sending it to a follower.
std::optional<ledger::SnapshotSource>
OpenSnapshot(const std::string& aDirectory)
{
  auto opened = ledger::SnapshotReader::Open(aDirectory);
  if (!opened.ok()) {
    return std::nullopt;
  }
  const auto reader =
    std::make_shared<ledger::SnapshotReader>(*std::move(opened));
  return ledger::SnapshotSource{ .lastIndex_ = reader->Header().lastIndex_,
                                 .lastTerm_ = reader->Header().lastTerm_,
                                 .read_ = [reader](int64_t aOffset,
                                                   int64_t aBytes) {
                                   return reader->Read(aOffset, aBytes);
                                 } };
}

} // namespace

ReplicaDriver::ReplicaDriver(EventLoop& aLoop, ReplicaDriverOptions aOptions)
  : loop_(aLoop)
  , options_(std::move(aOptions))
  , directory_(options_.settings_.Get(settings::kControlDataDir))
  , synced_(aLoop, [this](const StorageSynced& aSynced) { OnSynced(aSynced); })
  , snapshotWritten_(aLoop, [this](const SnapshotWritten& aWritten) {
    OnSnapshotWritten(aWritten);
  })
{
}

absl::Status
ReplicaDriver::Open()
{
  ledger::RecoveredState recovered;
  auto store = ledger::LogStore::Open(directory_, recovered);
  if (!store.ok()) {
    return store.status();
  }
  ledger::Ledger copy;
  const auto header = ledger::ReadSnapshot(directory_, copy);
  if (!header.ok()) {
    return header.status();
  }
  ledger_ = copy;
  applied_ = header->lastIndex_;
  id_ = recovered.identity_.id_;
  MakeReplica(recovered, *header);
  StartSnapshots(std::move(copy), *header);
  storage_ = std::make_unique<StorageTask>(
    *std::move(store),
    [this](StorageSynced aSynced) { synced_.Send(std::move(aSynced)); });
  return absl::OkStatus();
}

void
ReplicaDriver::MakeReplica(const ledger::RecoveredState& aRecovered,
                           const ledger::SnapshotHeader& aHeader)
{
  const auto& settings = options_.settings_;
  const int64_t election = settings.Get(settings::kElectionMs);
  const bool fresh = aHeader.lastIndex_ == 0;
  replica_ = std::make_unique<ledger::Replica>(
    ledger::ReplicaOptions{
      .id_ = id_,
      .heartbeatMs_ = settings.Get(settings::kHeartbeatMs),
      .electionMinMs_ = election,
      .electionMaxMs_ = 2 * election,
      .autoPromote_ = options_.autoPromote_,
      .seed_ = model::Hash64(id_),
      .openSnapshot_ = [this] { return OpenSnapshot(directory_); } },
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

void
ReplicaDriver::StartSnapshots(ledger::Ledger aCopy,
                              const ledger::SnapshotHeader& aHeader)
{
  snapshots_ = std::make_unique<SnapshotTask>(SnapshotTaskOptions{
    .directory_ = directory_,
    .intervalEntries_ = options_.settings_.Get(settings::kSnapshotEntries),
    .ledger_ = std::move(aCopy),
    .header_ = aHeader,
    .onWritten_ = [this](SnapshotWritten aWritten) {
      snapshotWritten_.Send(std::move(aWritten));
    } });
}

void
ReplicaDriver::ScheduleFlush()
{
  if (!std::exchange(flushScheduled_, true)) {
    loop_.Defer([this] { Flush(); });
  }
}

void
ReplicaDriver::Flush()
{
  flushScheduled_ = false;
  ledger::Effects effects = replica_->TakeEffects();
  const bool wasLeader =
    std::exchange(isLeader_, replica_->Role() == ledger::ReplicaRole::kLeader);
  ReportEvents(effects.events_);
  options_.send_(effects.sendNow_);
  // A received snapshot must be durable before it is acknowledged.
  if (effects.install_ && !Install(*effects.install_)) {
    // Without the acknowledgement the leader sends it again from its start.
    std::erase_if(effects.sendAfterSync_, [](const auto& aEnvelope) {
      return std::holds_alternative<ledger::SnapshotReply>(aEnvelope.message_);
    });
  }
  Persist(effects);
  ApplyCommitted();
  for (const auto read : effects.readsReady_) {
    options_.onRead_(read, true);
  }
  for (const auto read : effects.readsFailed_) {
    options_.onRead_(read, false);
  }
  if (wasLeader != isLeader_) {
    options_.onLeadership_();
  }
}

void
ReplicaDriver::ReportEvents(const std::vector<ledger::ReplicaEvent>& aEvents)
{
  auto& metrics = options_.metrics_;
  for (const auto& event : aEvents) {
    switch (event.kind_) {
      case ledger::ReplicaEventKind::kTransferStarted:
        metrics.Count(Counter::kSnapshotTransfers, 1, "first");
        break;
      case ledger::ReplicaEventKind::kTransferRestarted:
        metrics.Count(Counter::kSnapshotTransfers, 1, "again");
        break;
      case ledger::ReplicaEventKind::kVoteDenied:
        metrics.Count(Counter::kVotesDenied);
        break;
      case ledger::ReplicaEventKind::kElectionFailed:
        metrics.Count(Counter::kElectionsFailed);
        break;
      case ledger::ReplicaEventKind::kTransferDone:
      case ledger::ReplicaEventKind::kSteppedDown:
        break;
    }
    if (eventLogLimiter_.AllowsLog(event, EventLoop::NowMs())) {
      Log(Part::kControl, Level::kInfo, TextOf(event));
    }
  }
}

ReplicaDriver::PendingSync
ReplicaDriver::MakePendingSync()
{
  const auto& log = replica_->Log();
  return { .token_ = ++lastWriteToken_,
           .lastIndex_ = log.LastIndex(),
           .lastTerm_ = log.LastTerm(),
           .sentMs_ = EventLoop::NowMs() };
}

void
ReplicaDriver::Persist(ledger::Effects& aEffects)
{
  if (aEffects.NeedsPersisting()) {
    PendingSync pending = MakePendingSync();
    pending.messages_ = std::move(aEffects.sendAfterSync_);
    storage_->Write({ .frame_ = { aEffects.hardState_,
                                  aEffects.truncateFrom_,
                                  std::move(aEffects.persist_) },
                      .token_ = pending.token_ });
    pendingSyncs_.push_back(std::move(pending));
  } else if (pendingSyncs_.empty()) {
    options_.send_(aEffects.sendAfterSync_);
  } else {
    auto& waiting = pendingSyncs_.back().messages_;
    waiting.insert(waiting.end(),
                   aEffects.sendAfterSync_.begin(),
                   aEffects.sendAfterSync_.end());
  }
}

void
ReplicaDriver::OnSynced(const StorageSynced& aSynced)
{
  if (!aSynced.status_.ok()) {
    options_.onFatal_(aSynced.status_);
    return;
  }
  auto& metrics = options_.metrics_;
  metrics.Count(Counter::kLogSyncs);
  metrics.Observe(Summary::kSyncMs, aSynced.syncMs_);
  metrics.Observe(Summary::kWritesPerSync,
                  static_cast<double>(aSynced.writes_));
  while (!pendingSyncs_.empty() &&
         pendingSyncs_.front().token_ <= aSynced.token_) {
    const PendingSync done = std::move(pendingSyncs_.front());
    pendingSyncs_.pop_front();
    replica_->Persisted(done.lastIndex_, done.lastTerm_);
    options_.send_(done.messages_);
    metrics.Observe(Summary::kCommitMs,
                    static_cast<double>(EventLoop::NowMs() - done.sentMs_));
  }
  ScheduleFlush();
}

void
ReplicaDriver::ApplyCommitted()
{
  std::vector<ledger::Entry> entries;
  while (applied_ < replica_->CommitIndex()) {
    const ledger::Entry& entry = replica_->Log().At(++applied_);
    const ledger::Reply reply = ledger_.Apply(entry.command_, entry.timeMs_);
    options_.onApplied_(entry, reply);
    entries.push_back(entry);
  }
  if (entries.empty()) {
    return;
  }
  options_.metrics_.Count(Counter::kLogEntriesCommitted,
                          static_cast<int64_t>(entries.size()));
  snapshots_->Apply(std::move(entries));
  options_.onCommitted_();
}

void
ReplicaDriver::OnSnapshotWritten(const SnapshotWritten& aWritten)
{
  if (!aWritten.status_.ok()) {
    // The log still holds all entries, and the next snapshot is another
    // attempt.
    Log(Part::kStorage,
        Level::kWarning,
        Concat("snapshot write failed: ",
               std::string(aWritten.status_.message())));
    return;
  }
  options_.metrics_.Count(Counter::kSnapshots);
  Log(Part::kStorage,
      Level::kInfo,
      Concat("snapshot at entry ",
             aWritten.index_,
             " written: ",
             aWritten.bytes_,
             " bytes"));
  replica_->SnapshotWritten(aWritten.index_,
                            aWritten.index_ -
                              options_.settings_.Get(settings::kKeptEntries));
  RewriteLog();
}

void
ReplicaDriver::RewriteLog()
{
  const auto& log = replica_->Log();
  const auto count = static_cast<size_t>(log.LastIndex() - log.BaseIndex());
  const PendingSync pending = MakePendingSync();
  storage_->Write({ .frame_ = { replica_->CurrentHardState(),
                                std::nullopt,
                                log.Slice(log.BaseIndex() + 1, count) },
                    .rewrite_ = true,
                    .token_ = pending.token_ });
  pendingSyncs_.push_back(pending);
}

bool
ReplicaDriver::Install(const ledger::ReceivedSnapshot& aSnapshot)
{
  ledger::Ledger fresh;
  const auto header = ledger::StoreReceivedSnapshot(
    directory_, aSnapshot.bytes_, aSnapshot.lastIndex_, fresh);
  if (!header.ok()) {
    Log(Part::kStorage,
        Level::kWarning,
        Concat("received snapshot is invalid: ",
               std::string(header.status().message())));
    return false;
  }
  // Stops the local snapshot writer first, as both use the same file.
  SnapshotTaskOptions writer = snapshots_->Stop();
  const auto installed = ledger::InstallReceivedSnapshot(directory_);
  if (!installed.ok()) {
    // The disk may be full; the state from before still holds.
    Log(Part::kStorage,
        Level::kWarning,
        Concat("received snapshot not installed: ",
               std::string(installed.message())));
    snapshots_ = std::make_unique<SnapshotTask>(std::move(writer));
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
  options_.onInstalled_();
  return true;
}

} // namespace cactuswick::control

#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <absl/status/status.h>

#include "cactuswick/control/process/SnapshotTask.h"
#include "cactuswick/control/process/StorageTask.h"
#include "cactuswick/ledger/version/Replica.h"
#include "cactuswick/settings/process/Settings.h"
#include "cactuswick/telemetry/process/Metrics.h"
#include "cactuswick/transport/process/EventLoop.h"
#include "version/EventLogLimiter.h"

namespace cactuswick::control {

struct ReplicaDriverOptions
{
  const settings::Settings& settings_;
  /// Whether newcomers vote as soon as they have caught up.
  bool promotesCaughtUp_ = false;
  telemetry::Metrics& metrics_;
  std::function<void(const std::vector<ledger::Envelope>&)> send_;
  /// An entry has been committed and applied.
  std::function<void(const ledger::Entry&, const ledger::Reply&)> onApplied_;
  /// All entries that were committed by now have been applied.
  std::function<void()> onCommitted_;
  /// The state has been replaced by the leader's.
  std::function<void()> onInstalled_;
  /// A read is confirmed by a quorum, or cannot be.
  std::function<void(ledger::ReadId aRead, bool aReady)> onRead_;
  /// This replica leads, or leads no more.
  std::function<void()> onLeadership_;
  std::function<void(absl::Status)> onFatal_;
};

/// Carries out what the replica decides: writes its log and snapshots, sends
/// what may be sent only once they are durable, applies what is committed.
class ReplicaDriver
{
public:
  ReplicaDriver(transport::EventLoop& aLoop, ReplicaDriverOptions aOptions);

  /// Reads the data folder and starts the replica and its writers.
  absl::Status Open();

  const std::string& Id() const { return id_; }
  ledger::Replica& Replica() { return *replica_; }
  const ledger::Ledger& Ledger() const { return ledger_; }
  ledger::Index Applied() const { return applied_; }
  bool IsLeader() const { return isLeader_; }

  /// Carries out effects once per turn of the loop, so that everything that
  /// came together shares one write and one message per follower.
  void ScheduleFlush();

private:
  /// Messages that wait for a write to be durable.
  struct PendingSync
  {
    int64_t token_ = 0;
    ledger::Index lastIndex_ = 0;
    ledger::Term lastTerm_ = 0;
    int64_t sentMs_ = 0;
    std::vector<ledger::Envelope> messages_;
  };

  void MakeReplica(const ledger::Recovered& aRecovered,
                   const ledger::SnapshotHeader& aHeader);
  void StartSnapshots(ledger::Ledger aShadow,
                      const ledger::SnapshotHeader& aHeader);
  void Flush();
  /// A write of what the log holds by now.
  PendingSync MakePendingSync();
  void Persist(ledger::Effects& aEffects);
  void OnSynced(const StorageSynced& aSynced);
  void ApplyCommitted();
  void OnSnapshotWritten(const SnapshotWritten& aWritten);
  void RewriteLog();
  /// Counts what the replica noted and logs a bounded part of it.
  void ReportEvents(const std::vector<ledger::ReplicaNote>& aNotes);
  /// Replaces the whole state by a snapshot from the leader; false when what
  /// came is not whole.
  bool Install(const ledger::ReceivedSnapshot& aSnapshot);

  transport::EventLoop& loop_;
  ReplicaDriverOptions options_;
  std::string directory_;
  std::string id_;
  ledger::Ledger ledger_;
  std::unique_ptr<ledger::Replica> replica_;
  ledger::Index applied_ = 0;
  bool isLeader_ = false;
  bool flushScheduled_ = false;
  int64_t lastWriteToken_ = 0;
  std::deque<PendingSync> pendingSyncs_;
  EventLogLimiter eventLogLimiter_;
  transport::Mailbox<StorageSynced> synced_;
  transport::Mailbox<SnapshotWritten> snapshotWritten_;
  /// Declared last: their threads end before the mailboxes they write to.
  std::unique_ptr<SnapshotTask> snapshots_;
  std::unique_ptr<StorageTask> storage_;
};

} // namespace cactuswick::control

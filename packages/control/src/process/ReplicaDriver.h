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
  /// Whether learners become voters as soon as they have caught up.
  bool autoPromote_ = false;
  telemetry::Metrics& metrics_;
  std::function<void(const std::vector<ledger::Envelope>&)> send_;
  /// Called for each entry that was committed and applied.
  std::function<void(const ledger::Entry&, const ledger::Reply&)> onApplied_;
  /// Called once all entries committed so far have been applied.
  std::function<void()> onCommitted_;
  /// Called after the state was replaced by the leader's snapshot.
  std::function<void()> onInstalled_;
  /// Called when a quorum has confirmed a read, or when it cannot be confirmed.
  std::function<void(ledger::ReadId aRead, bool aReady)> onRead_;
  /// Called when this replica becomes leader or stops being it.
  std::function<void()> onLeadership_;
  std::function<void(absl::Status)> onFatal_;
};

/// Carries out the effects of the replica: writes its log and snapshots, sends
/// messages only once the writes that they depend on are durable, and applies
/// committed entries.
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

  /// Schedules the effects to be carried out once per turn of the event loop,
  /// so that all requests of a turn share one write and one message per
  /// follower.
  void ScheduleFlush();

private:
  /// A write that is not durable yet, with the messages that wait for it.
  struct PendingSync
  {
    int64_t token_ = 0;
    ledger::Index lastIndex_ = 0;
    ledger::Term lastTerm_ = 0;
    int64_t sentMs_ = 0;
    std::vector<ledger::Envelope> messages_;
  };

  void MakeReplica(const ledger::RecoveredState& aRecovered,
                   const ledger::SnapshotHeader& aHeader);
  void StartSnapshots(ledger::Ledger aCopy,
                      const ledger::SnapshotHeader& aHeader);
  void Flush();
  /// Describes a write of the log up to its current end.
  PendingSync MakePendingSync();
  void Persist(ledger::Effects& aEffects);
  void OnSynced(const StorageSynced& aSynced);
  void ApplyCommitted();
  void OnSnapshotWritten(const SnapshotWritten& aWritten);
  void RewriteLog();
  /// Counts the events of the replica and logs them at a limited rate.
  void ReportEvents(const std::vector<ledger::ReplicaEvent>& aEvents);
  /// Replaces the whole state with a snapshot from the leader. Returns false
  /// when the received snapshot is invalid or cannot be installed.
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
  /// Declared last, so that their threads end before the mailboxes that they
  /// write to are destroyed.
  std::unique_ptr<SnapshotTask> snapshots_;
  std::unique_ptr<StorageTask> storage_;
};

} // namespace cactuswick::control

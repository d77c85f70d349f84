#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <absl/status/status.h>

#include "cactuswick/ledger/process/SnapshotFile.h"

namespace cactuswick::control {

/// Result of writing a snapshot through an index; it is durable if @c status_
/// is OK.
struct SnapshotWritten
{
  ledger::Index index_ = 0;
  int64_t bytes_ = 0;
  double writeMs_ = 0;
  absl::Status status_;
};

struct SnapshotTaskOptions
{
  std::string directory_;
  /// Number of entries between snapshots.
  int64_t intervalEntries_ = 0;
  /// Copy of the serving ledger in the state that @c header_ describes.
  ledger::Ledger ledger_;
  ledger::SnapshotHeader header_;
  std::function<void(SnapshotWritten)> onWritten_;
};

/// Maintains a second copy of the ledger on its own thread and writes snapshots
/// from it, so that a snapshot never blocks the event loop that serves
/// requests.
class SnapshotTask
{
public:
  explicit SnapshotTask(SnapshotTaskOptions aOptions);
  SnapshotTask(const SnapshotTask&) = delete;
  SnapshotTask& operator=(const SnapshotTask&) = delete;
  ~SnapshotTask();

  /// Ends the thread once all queued entries are applied. Returns what another
  /// task needs to go on from there; this one must not be used afterwards.
  SnapshotTaskOptions Stop();

  /// Queues committed entries, in log order.
  void Apply(std::vector<ledger::Entry> aEntries);

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace cactuswick::control

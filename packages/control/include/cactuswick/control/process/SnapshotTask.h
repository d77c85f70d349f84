#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <absl/status/status.h>

#include "cactuswick/ledger/process/SnapshotFile.h"

namespace cactuswick::control {

/// Says that a snapshot through an index is durable.
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
  /// Entries between snapshots.
  int64_t everyEntries_ = 0;
  /// The ledger as of the header, equal to the serving one.
  ledger::Ledger ledger_;
  ledger::SnapshotHeader header_;
  std::function<void(SnapshotWritten)> onWritten_;
};

/// Keeps a second copy of the ledger on a thread of its own and writes
/// snapshots from it, so that the serving loop never waits for one.
class SnapshotTask
{
public:
  explicit SnapshotTask(SnapshotTaskOptions aOptions);
  SnapshotTask(const SnapshotTask&) = delete;
  SnapshotTask& operator=(const SnapshotTask&) = delete;
  ~SnapshotTask();

  /// Takes committed entries, in order.
  void Apply(std::vector<ledger::Entry> aEntries);

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace cactuswick::control

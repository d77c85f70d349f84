#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include <absl/status/status.h>

#include "cactuswick/ledger/process/LogStore.h"

namespace cactuswick::control {

/// Work for the disk, done in order.
struct StorageWrite
{
  ledger::LogFrame frame_;
  /// Replaces the whole log by the frame.
  bool rewrite_ = false;
  int64_t token_ = 0;
};

/// Says that every write through a token is durable.
struct StorageSynced
{
  int64_t token_ = 0;
  int64_t writes_ = 0;
  double syncMs_ = 0;
  absl::Status status_;
};

/// Owns the log file: appends what it is sent and syncs once for all writes
/// that have come together (group commit).
class StorageTask
{
public:
  StorageTask(ledger::LogStore aStore,
              std::function<void(StorageSynced)> aOnSynced);
  StorageTask(const StorageTask&) = delete;
  StorageTask& operator=(const StorageTask&) = delete;
  /// Finishes the writes that were sent.
  ~StorageTask();

  void Write(StorageWrite aWrite);

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace cactuswick::control

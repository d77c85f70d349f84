#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include <absl/status/status.h>

#include "cactuswick/ledger/process/LogStore.h"

namespace cactuswick::control {

/// A write to the log file; writes are carried out in order.
struct StorageWrite
{
  ledger::LogFrame frame_;
  /// Replaces the whole log with the frame instead of appending it.
  bool rewrite_ = false;
  /// Increases with each write; reported back once the write is durable.
  int64_t token_ = 0;
};

/// Result of one sync: every write through @c token_ is durable if @c status_
/// is OK.
struct StorageSynced
{
  int64_t token_ = 0;
  int64_t writes_ = 0;
  double syncMs_ = 0;
  absl::Status status_;
};

/// Owns the log file and writes to it on its own thread, with one sync for all
/// writes that are queued together (group commit).
class StorageTask
{
public:
  StorageTask(ledger::LogStore aStore,
              std::function<void(StorageSynced)> aOnSynced);
  StorageTask(const StorageTask&) = delete;
  StorageTask& operator=(const StorageTask&) = delete;
  /// Finishes the queued writes; one that fails is no longer retried.
  ~StorageTask();

  void Write(StorageWrite aWrite);

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace cactuswick::control

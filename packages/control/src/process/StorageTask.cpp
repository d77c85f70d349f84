#include "cactuswick/control/process/StorageTask.h"

#include <atomic>
#include <chrono>
#include <thread>
#include <utility>

#include "cactuswick/telemetry/process/Log.h"
#include "cactuswick/transport/process/Worker.h"

namespace cactuswick::control {

namespace {

using telemetry::Level;
using telemetry::Log;
using telemetry::Part;

constexpr std::chrono::milliseconds kWriteRetryInterval(100);

/// Merges consecutive appends into one record per sync. After a power failure
/// any unsynced record may be missing while later ones are on disk; a single
/// record cannot leave such a gap.
std::vector<StorageWrite>
MergeAppends(const std::vector<StorageWrite>& aWrites)
{
  std::vector<StorageWrite> merged;
  for (const auto& write : aWrites) {
    const bool appends =
      !merged.empty() && !merged.back().rewrite_ && !write.rewrite_;
    if (appends) {
      merged.back().frame_ =
        ledger::MergeFrames(std::move(merged.back().frame_), write.frame_);
    } else {
      merged.push_back(write);
    }
  }
  return merged;
}

} // namespace

struct StorageTask::State
{
  State(ledger::LogStore aStore, std::function<void(StorageSynced)> aOnSynced)
    : store_(std::move(aStore))
    , onSynced_(std::move(aOnSynced))
    , worker_([this](const std::vector<StorageWrite>& aWrites) {
      onSynced_(WriteAll(aWrites));
    })
  {
  }

  StorageSynced WriteAll(const std::vector<StorageWrite>& aWrites)
  {
    const auto start = std::chrono::steady_clock::now();
    absl::Status status;
    for (const auto& write : MergeAppends(aWrites)) {
      if (status.ok()) {
        status = WriteOne(write);
      }
    }
    if (status.ok()) {
      status = store_.Sync();
    }
    const std::chrono::duration<double, std::milli> elapsed =
      std::chrono::steady_clock::now() - start;
    return { aWrites.back().token_,
             static_cast<int64_t>(aWrites.size()),
             elapsed.count(),
             status };
  }

  /// Retries a failed write, such as on a full disk, until the task is stopped.
  /// Nothing is acknowledged meanwhile, and the other replicas carry on.
  absl::Status WriteOne(const StorageWrite& aWrite)
  {
    bool failed = false;
    while (true) {
      absl::Status status = aWrite.rewrite_ ? store_.Rewrite(aWrite.frame_)
                                            : store_.Append(aWrite.frame_);
      if (status.ok() || stopping_) {
        if (failed) {
          Log(Part::kStorage, Level::kInfo, "log writes succeed again");
        }
        return status;
      }
      if (!std::exchange(failed, true)) {
        Log(Part::kStorage,
            Level::kWarning,
            model::Concat("log write failed, retrying: ",
                          std::string(status.message())));
      }
      std::this_thread::sleep_for(kWriteRetryInterval);
    }
  }

  ledger::LogStore store_;
  std::function<void(StorageSynced)> onSynced_;
  std::atomic<bool> stopping_ = false;
  /// Declared last, as its thread uses the other members.
  transport::Worker<StorageWrite> worker_;
};

StorageTask::StorageTask(ledger::LogStore aStore,
                         std::function<void(StorageSynced)> aOnSynced)
  : state_(std::make_unique<State>(std::move(aStore), std::move(aOnSynced)))
{
}

StorageTask::~StorageTask()
{
  state_->stopping_ = true;
}

void
StorageTask::Write(StorageWrite aWrite)
{
  state_->worker_.Send(std::move(aWrite));
}

} // namespace cactuswick::control

#include "cactuswick/control/process/StorageTask.h"

#include <chrono>
#include <utility>

#include "cactuswick/transport/process/Worker.h"

namespace cactuswick::control {

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
    for (const auto& write : aWrites) {
      if (status.ok()) {
        status = write.rewrite_ ? store_.Rewrite(write.frame_)
                                : store_.Append(write.frame_);
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

  ledger::LogStore store_;
  std::function<void(StorageSynced)> onSynced_;
  /// Declared last: its thread uses the rest.
  transport::Worker<StorageWrite> worker_;
};

StorageTask::StorageTask(ledger::LogStore aStore,
                         std::function<void(StorageSynced)> aOnSynced)
  : state_(std::make_unique<State>(std::move(aStore), std::move(aOnSynced)))
{
}

StorageTask::~StorageTask() = default;

void
StorageTask::Write(StorageWrite aWrite)
{
  state_->worker_.Send(std::move(aWrite));
}

} // namespace cactuswick::control

#include "cactuswick/control/process/SnapshotTask.h"

#include <chrono>
#include <optional>
#include <utility>

#include "cactuswick/transport/process/Worker.h"

namespace cactuswick::control {

struct SnapshotTask::State
{
  using Batch = std::vector<ledger::Entry>;

  explicit State(SnapshotTaskOptions aOptions)
    : options_(std::move(aOptions))
    , lastSnapshot_(options_.header_.lastIndex_)
  {
    worker_.emplace(
      [this](const std::vector<Batch>& aBatches) { ApplyBatches(aBatches); });
  }

  void ApplyBatches(const std::vector<Batch>& aBatches)
  {
    for (const auto& batch : aBatches) {
      ApplyBatch(batch);
    }
    const auto entriesSince = options_.header_.lastIndex_ - lastSnapshot_;
    if (entriesSince >= options_.intervalEntries_) {
      Write();
    }
  }

  void ApplyBatch(const Batch& aEntries)
  {
    auto& header = options_.header_;
    for (const auto& entry : aEntries) {
      options_.ledger_.Apply(entry.command_, entry.timeMs_);
      header.lastIndex_ = entry.index_;
      header.lastTerm_ = entry.term_;
      header.lastTimeMs_ = entry.timeMs_;
      if (const auto* change =
            std::get_if<ledger::ChangeMembers>(&entry.command_)) {
        header.members_ = change->members_;
      }
    }
  }

  void Write()
  {
    const auto start = std::chrono::steady_clock::now();
    const auto bytes = ledger::WriteSnapshot(
      options_.directory_, options_.header_, options_.ledger_);
    const std::chrono::duration<double, std::milli> elapsed =
      std::chrono::steady_clock::now() - start;
    lastSnapshot_ = options_.header_.lastIndex_;
    options_.onWritten_(
      { lastSnapshot_, bytes.value_or(0), elapsed.count(), bytes.status() });
  }

  SnapshotTaskOptions options_;
  ledger::Index lastSnapshot_;
  /// Declared last, as its thread uses the other members.
  std::optional<transport::Worker<Batch>> worker_;
};

SnapshotTask::SnapshotTask(SnapshotTaskOptions aOptions)
  : state_(std::make_unique<State>(std::move(aOptions)))
{
}

SnapshotTask::~SnapshotTask() = default;

SnapshotTaskOptions
SnapshotTask::Stop()
{
  state_->worker_.reset();
  return std::move(state_->options_);
}

void
SnapshotTask::Apply(std::vector<ledger::Entry> aEntries)
{
  if (!aEntries.empty()) {
    state_->worker_->Send(std::move(aEntries));
  }
}

} // namespace cactuswick::control

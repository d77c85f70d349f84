#include "process/OperationBatches.h"

#include <utility>

namespace cactuswick::router {

namespace {

constexpr size_t kMaxBatchOps = 512;

} // namespace

OperationBatches::OperationBatches(RoundTripHook aOnRoundTrip)
  : onRoundTrip_(std::move(aOnRoundTrip))
{
}

void
OperationBatches::Add(ledger::RouterOp aOp, OpHook aHook)
{
  queue_.push_back({ std::move(aOp), std::move(aHook) });
}

void
OperationBatches::OpenNext(ledger::Incarnation aIncarnation, int64_t aNowMs)
{
  firstSentMs_ = aNowMs;
  open_ = ledger::RouterBatch{ .incarnation_ = aIncarnation,
                               .sequence_ = ++lastSequence_ };
  while (!queue_.empty() && open_->ops_.size() < kMaxBatchOps) {
    open_->ops_.push_back(std::move(queue_.front().op_));
    hooks_.push_back(std::move(queue_.front().hook_));
    queue_.pop_front();
  }
}

bool
OperationBatches::IsAnsweredBy(const ledger::BatchReply& aReply) const
{
  return open_ && aReply.sequence_ == open_->sequence_;
}

void
OperationBatches::Close(const ledger::BatchReply& aReply, int64_t aNowMs)
{
  open_.reset();
  lastReplyMs_ = aNowMs;
  lastRoundTripMs_ = aNowMs - firstSentMs_;
  if (onRoundTrip_) {
    onRoundTrip_(lastRoundTripMs_);
  }
  // The hooks may add operations.
  const std::vector<OpHook> hooks = std::exchange(hooks_, {});
  for (size_t i = 0; i < hooks.size() && i < aReply.results_.size(); ++i) {
    if (hooks[i]) {
      hooks[i](aReply.results_[i]);
    }
  }
}

ControlTimings
OperationBatches::Times(int64_t aNowMs) const
{
  return { .lastRoundTripMs_ = lastRoundTripMs_,
           .lastReplyAgeMs_ = aNowMs - lastReplyMs_,
           .openBatchAgeMs_ = open_ ? aNowMs - firstSentMs_ : 0 };
}

} // namespace cactuswick::router

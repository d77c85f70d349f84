#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <vector>

#include "cactuswick/ledger/version/Command.h"

namespace cactuswick::router {

/// Times of a router's talk with control.
struct ControlTimes
{
  /// From the first send of the last answered batch to its answer.
  int64_t lastTripMs_ = 0;
  /// Since that answer.
  int64_t answerAgeMs_ = 0;
  /// Since the open batch was first sent; 0 without one.
  int64_t batchOpenMs_ = 0;

  bool operator==(const ControlTimes&) const = default;
};

/// A router's operations on the ledger, in numbered batches of which one at a
/// time is open. The open batch keeps its number until it is answered, so that
/// the ledger can tell when it is sent again. Pure.
class OperationBatches
{
public:
  using OpHook = std::function<void(const ledger::OpResult&)>;
  using RoundTripHook = std::function<void(int64_t aRoundTripMs)>;

  /// @p aOnRoundTrip hears how long after its first send a batch was answered.
  explicit OperationBatches(RoundTripHook aOnRoundTrip);

  /// Adds an operation to the next batch; the hook gets its result once.
  void Add(ledger::RouterOp aOp, OpHook aHook);
  bool HasQueued() const { return !queue_.empty(); }

  bool IsOpen() const { return open_.has_value(); }
  /// The open batch; only while there is one.
  const ledger::RouterBatch& Open() const { return *open_; }
  /// Moves what is queued, up to a batch's size, into a new open batch.
  void OpenNext(ledger::Incarnation aIncarnation, int64_t aNowMs);
  /// False for the answer of an earlier batch.
  bool IsAnsweredBy(const ledger::BatchReply& aReply) const;
  /// Closes the open batch and hands out its results.
  void Close(const ledger::BatchReply& aReply, int64_t aNowMs);

  ControlTimes Times(int64_t aNowMs) const;

private:
  struct QueuedOp
  {
    ledger::RouterOp op_;
    OpHook hook_;
  };

  RoundTripHook onRoundTrip_;
  std::deque<QueuedOp> queue_;
  std::optional<ledger::RouterBatch> open_;
  /// Those of the open batch, in its order.
  std::vector<OpHook> hooks_;
  int64_t lastSequence_ = 0;
  /// When the open batch was first sent.
  int64_t firstSentMs_ = 0;
  /// When the last answered batch was answered, and how long it took.
  int64_t lastReplyMs_ = 0;
  int64_t lastTripMs_ = 0;
};

} // namespace cactuswick::router

#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <vector>

#include "cactuswick/ledger/version/Command.h"

namespace cactuswick::router {

/// Timings of a router's communication with control.
struct ControlTimings
{
  /// From the first send of the last answered batch to its reply.
  int64_t lastRoundTripMs_ = 0;
  /// Age of that reply.
  int64_t lastReplyAgeMs_ = 0;
  /// Age of the open batch since it was first sent; 0 if none is open.
  int64_t openBatchAgeMs_ = 0;

  bool operator==(const ControlTimings&) const = default;
};

/// Groups a router's ledger operations into numbered batches, one of which is
/// open at a time. The open batch keeps its number until it is answered, so
/// that the ledger recognises a resent one. Performs no I/O; the caller
/// supplies the time.
class OperationBatches
{
public:
  using OpHook = std::function<void(const ledger::OpResult&)>;
  using RoundTripHook = std::function<void(int64_t aRoundTripMs)>;

  /// @p aOnRoundTrip is called with the time from a batch's first send to its
  /// reply.
  explicit OperationBatches(RoundTripHook aOnRoundTrip);

  /// Adds an operation to the next batch; the hook is called once with its
  /// result.
  void Add(ledger::RouterOp aOp, OpHook aHook);
  bool HasQueued() const { return !queue_.empty(); }

  bool IsOpen() const { return open_.has_value(); }
  /// Returns the open batch; valid only while IsOpen().
  const ledger::RouterBatch& Open() const { return *open_; }
  /// Opens a new batch with the queued operations, up to the maximum batch
  /// size.
  void OpenNext(ledger::Incarnation aIncarnation, int64_t aNowMs);
  /// Returns whether @p aReply answers the open batch and not an earlier one.
  bool IsAnsweredBy(const ledger::BatchReply& aReply) const;
  /// Closes the open batch and calls the hooks with its results.
  void Close(const ledger::BatchReply& aReply, int64_t aNowMs);

  ControlTimings Times(int64_t aNowMs) const;

private:
  struct QueuedOp
  {
    ledger::RouterOp op_;
    OpHook hook_;
  };

  RoundTripHook onRoundTrip_;
  std::deque<QueuedOp> queue_;
  std::optional<ledger::RouterBatch> open_;
  /// Hooks of the open batch's operations, in the same order.
  std::vector<OpHook> hooks_;
  int64_t lastSequence_ = 0;
  /// Time at which the open batch was first sent.
  int64_t firstSentMs_ = 0;
  /// Time and round-trip time of the last reply.
  int64_t lastReplyMs_ = 0;
  int64_t lastRoundTripMs_ = 0;
};

} // namespace cactuswick::router

#pragma once

#include <cstdint>
#include <deque>
#include <functional>

#include <absl/status/status.h>

#include "cactuswick/ledger/request/RouterOp.h"

namespace cactuswick::router {

using ReserveHook = std::function<void(absl::Status)>;

/// A reservation that waits for tokens of a budget.
struct WaitingReservation
{
  int64_t owner_ = 0;
  ledger::Tokens amount_ = 0;
  int64_t sinceMs_ = 0;
  /// Number of denied grant requests that were made for it.
  int64_t attempts_ = 0;
  /// While this one is first in the queue, no grant is requested before this
  /// time.
  int64_t retryAtMs_ = 0;
  /// For a stream that its caller takes up again.
  bool takesUp_ = false;
  ReserveHook hook_;
};

/// The waiting reservations of one budget: first those for streams that are
/// taken up again, then the others, both in the order of their arrival. Their
/// hooks may reserve again and cancel others.
class ReservationQueue
{
public:
  void Add(WaitingReservation aReservation);
  /// Removes the reservations of a request without calling their hooks; returns
  /// whether there were any.
  bool Cancel(int64_t aOwner);

  bool IsEmpty() const { return waiting_.empty(); }
  size_t Size() const { return waiting_.size(); }
  /// Only while not empty.
  WaitingReservation& First() { return waiting_.front().reservation_; }
  const WaitingReservation& First() const
  {
    return waiting_.front().reservation_;
  }
  /// Returns when the one that waits longest was added, in milliseconds. Only
  /// while not empty.
  int64_t OldestMs() const;
  ledger::Tokens TotalAmount() const;
  /// Returns the part of @p aFree tokens that covers whole reservations, taken
  /// in order; those that don't fit are passed over.
  ledger::Tokens AmountCoveredBy(ledger::Tokens aFree) const;

  /// Completes reservations in order, as long as @p aTryReserve returns true
  /// for the amount of the first. Does nothing if called from one of the hooks.
  void Serve(const std::function<bool(ledger::Tokens)>& aTryReserve);
  void FailFirst(const absl::Status& aStatus);
  /// Fails the one that waits longest. Only while not empty.
  void FailOldest(const absl::Status& aStatus);
  /// Fails the reservations that wait now for @p aMinimum or more.
  void Fail(ledger::Tokens aMinimum, const absl::Status& aStatus);

private:
  struct Entry
  {
    /// Increases with each reservation.
    int64_t number_ = 0;
    WaitingReservation reservation_;
  };

  std::deque<Entry>::const_iterator Oldest() const;

  std::deque<Entry> waiting_;
  int64_t lastNumber_ = 0;
  /// Guards against reentry: Serve is running further up the stack.
  bool serving_ = false;
};

} // namespace cactuswick::router

#include "process/ReservationQueue.h"

#include <algorithm>
#include <utility>

namespace cactuswick::router {

void
ReservationQueue::Add(WaitingReservation aReservation)
{
  const auto behind = aReservation.takesUp_
                        ? std::find_if(waiting_.begin(),
                                       waiting_.end(),
                                       [](const Entry& aEntry) {
                                         return !aEntry.reservation_.takesUp_;
                                       })
                        : waiting_.end();
  waiting_.insert(behind, { ++lastNumber_, std::move(aReservation) });
}

bool
ReservationQueue::Cancel(int64_t aOwner)
{
  return std::erase_if(waiting_, [&](const Entry& aEntry) {
           return aEntry.reservation_.owner_ == aOwner;
         }) > 0;
}

std::deque<ReservationQueue::Entry>::const_iterator
ReservationQueue::Oldest() const
{
  return std::min_element(
    waiting_.begin(), waiting_.end(), [](const Entry& a, const Entry& b) {
      return a.number_ < b.number_;
    });
}

int64_t
ReservationQueue::OldestMs() const
{
  return Oldest()->reservation_.sinceMs_;
}

ledger::Tokens
ReservationQueue::TotalAmount() const
{
  ledger::Tokens sum = 0;
  for (const auto& entry : waiting_) {
    sum += entry.reservation_.amount_;
  }
  return sum;
}

ledger::Tokens
ReservationQueue::AmountCoveredBy(ledger::Tokens aFree) const
{
  ledger::Tokens sum = 0;
  for (const auto& entry : waiting_) {
    const ledger::Tokens amount = entry.reservation_.amount_;
    sum += sum + amount <= aFree ? amount : 0;
  }
  return sum;
}

void
ReservationQueue::Serve(const std::function<bool(ledger::Tokens)>& aTryReserve)
{
  if (std::exchange(serving_, true)) {
    return;
  }
  while (!waiting_.empty() && aTryReserve(First().amount_)) {
    const ReserveHook hook = std::move(First().hook_);
    waiting_.pop_front();
    hook(absl::OkStatus());
  }
  serving_ = false;
}

void
ReservationQueue::FailFirst(const absl::Status& aStatus)
{
  const ReserveHook hook = std::move(First().hook_);
  waiting_.pop_front();
  hook(aStatus);
}

void
ReservationQueue::FailOldest(const absl::Status& aStatus)
{
  const auto oldest = Oldest();
  const ReserveHook hook = oldest->reservation_.hook_;
  waiting_.erase(oldest);
  hook(aStatus);
}

void
ReservationQueue::Fail(ledger::Tokens aMinimum, const absl::Status& aStatus)
{
  const auto fails = [aMinimum, last = lastNumber_](const Entry& aEntry) {
    return aEntry.reservation_.amount_ >= aMinimum && aEntry.number_ <= last;
  };
  // One at a time, as a hook may cancel others or reserve again.
  for (auto failed = std::find_if(waiting_.begin(), waiting_.end(), fails);
       failed != waiting_.end();
       failed = std::find_if(waiting_.begin(), waiting_.end(), fails)) {
    const ReserveHook hook = std::move(failed->reservation_.hook_);
    waiting_.erase(failed);
    hook(aStatus);
  }
}

} // namespace cactuswick::router

#include "process/Biller.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "cactuswick/model/process/Error.h"
#include "cactuswick/telemetry/process/Log.h"

namespace cactuswick::router {

namespace {

using model::ErrorKind;
using model::MakeError;
using telemetry::Counter;
using telemetry::Level;
using telemetry::Log;
using telemetry::Part;
using transport::EventLoop;

constexpr int64_t kTickMs = 50;
/// Delay before a denied grant is requested again.
constexpr int64_t kDenialRetryMs = 100;
constexpr int64_t kIdleCheckMs = 2'000;
/// While control is unreachable and all lenders have refused, reservations of
/// the refused amount fail for this long before lenders are asked again.
constexpr int64_t kLoanRetryMs = 300;
/// A reservation waits this long for control before other routers are asked.
constexpr int64_t kBorrowAfterMs = 60;
/// A grant request may have to wait for the batch before its own: two round
/// trips.
constexpr int64_t kRoundTripsPerRequest = 2;
/// Recent use divided by this is borrowed in advance.
constexpr ledger::Tokens kBorrowAheadDivisor = 4;

absl::Status
NoLenderError()
{
  return MakeError(ErrorKind::kControlUnreachable,
                   "budget",
                   "control is unreachable, and no router can lend");
}

absl::Status
HeldElsewhereError()
{
  return MakeError(ErrorKind::kBudgetHeldElsewhere,
                   "budget",
                   "the rest of the budget is held or in use");
}

} // namespace

Biller::Biller(EventLoop& aLoop, const BillerOptions& aOptions)
  : options_(aOptions)
  , grants_(aOptions.grants_)
  , transfers_(aOptions.control_)
  , loans_(aLoop,
           { .from_ = aOptions.from_,
             .replyTimeoutMs_ = aOptions.reserveTimeoutMs_,
             .self_ = [this] { return options_.control_.Incarnation(); },
             .routers_ = [this] { return options_.config_.Routers(); },
             .reserveHolders_ =
               [this](const std::string& aBudget) {
                 return routing::SelectReserveHolders(
                   aBudget, options_.config_.Routers());
               },
             .lend_ =
               [this](const transport::LendRequest& aRequest) {
                 return LendTo(aRequest);
               },
             .onLent_ =
               [this](const std::string& aBudget, ledger::Tokens aAmount) {
                 options_.metrics_.Count(Counter::kTokensBorrowed, aAmount);
                 grants_.OnGranted(aBudget, aAmount);
                 ServeWaiters(aBudget);
               },
             .onRefused_ =
               [this](const std::string& aBudget, ledger::Tokens aMinimum) {
                 OnLoanRefused(aBudget, aMinimum);
               } })
  , prefetcher_({ .control_ = aOptions.control_,
                  .grants_ = grants_,
                  .expectedSurplus_ =
                    [this](const std::string& aBudget) {
                      return ExpectedSurplus(aBudget);
                    },
                  .onReply_ =
                    [this](const std::string& aBudget) {
                      ServeWaiters(aBudget);
                      RequestForWaiters(aBudget);
                    } })
  , tick_(aLoop, [this] { OnTick(); })
{
  tick_.StartRepeating(kTickMs);
}

void
Biller::OnTick()
{
  const int64_t now = EventLoop::NowMs();
  for (const auto& [budget, queue] : queues_) {
    RequestForWaiters(budget);
  }
  for (const auto& [budget, queue] : queues_) {
    if (options_.reportsUsage_ && !queue.waiters_.IsEmpty() &&
        now - queue.waiters_.OldestMs() >= kBorrowAfterMs) {
      Borrow(budget, now);
    }
  }
  ExpireReservations(now);
  ExpireSettles(now);
  if (!options_.control_.IsReachable()) {
    CopyPending();
  } else if (now - lastIdleCheckMs_ > kIdleCheckMs) {
    lastIdleCheckMs_ = now;
    ReturnIdle(now);
  }
  if (options_.control_.IsReachable() &&
      now - lastReportMs_ > ReportIntervalMs()) {
    lastReportMs_ = now;
    ReportUsage();
    prefetcher_.RefillAll();
  }
}

void
Biller::ReportUsage()
{
  for (const auto& [budget, amount] : std::exchange(unreportedUsage_, {})) {
    options_.control_.Submit(ledger::ReportUsage{ budget, amount });
  }
}

void
Biller::Borrow(const std::string& aBudget, int64_t aNowMs)
{
  const BudgetQueue& queue = queues_[aBudget];
  const ledger::Tokens needed =
    queue.waiters_.TotalAmount() - grants_.Free(aBudget);
  const ledger::Tokens first =
    queue.waiters_.First().amount_ - grants_.Free(aBudget);
  const ledger::Tokens ahead =
    grants_.RecentUseOf(aBudget, aNowMs) / kBorrowAheadDivisor;
  loans_.Borrow(aBudget, needed + ahead, std::max(ledger::Tokens{ 1 }, first));
}

void
Biller::OnLoanRefused(const std::string& aBudget, ledger::Tokens aMinimum)
{
  if (options_.control_.IsReachable()) {
    return;
  }
  BudgetQueue& queue = queues_[aBudget];
  if (!queue.waiters_.IsEmpty()) {
    queue.refusedLoan_ = grants_.Free(aBudget) + aMinimum;
    queue.refusedLoanUntilMs_ = EventLoop::NowMs() + kLoanRetryMs;
    queue.waiters_.Fail(queue.refusedLoan_, NoLenderError());
  }
  // Smaller reservations may still fit.
  ServeWaiters(aBudget);
}

int64_t
Biller::ReportIntervalMs() const
{
  return routing::ReportIntervalMs(options_.config_.ServingRouters());
}

ledger::Tokens
Biller::LendTo(const transport::LendRequest& aRequest)
{
  if (returnedAll_) {
    return 0;
  }
  const auto queue = queues_.find(aRequest.budget_);
  if (queue != queues_.end() && !queue->second.waiters_.IsEmpty()) {
    // The waiting reservations' grant request relies on the free tokens.
    return 0;
  }
  const ledger::Tokens lent =
    grants_.Lend(aRequest.budget_, aRequest.want_, aRequest.minimum_);
  if (lent > 0) {
    options_.metrics_.Count(Counter::kTokensLent, lent);
    Log(Part::kBilling,
        Level::kInfo,
        model::Concat("lent budget=",
                      aRequest.budget_,
                      " tokens=",
                      lent,
                      " to=",
                      aRequest.borrower_,
                      " free=",
                      grants_.Free(aRequest.budget_)));
    // Committed once control is reachable; until then the ledger counts the
    // loan as this router's.
    transfers_.Submit(
      aRequest.budget_,
      lent,
      ledger::MoveGrant{ aRequest.budget_, aRequest.borrower_, lent });
  }
  return lent;
}

void
Biller::RecordUsage(const std::string& aBudget,
                    ledger::Tokens aReserved,
                    ledger::Tokens aUsed)
{
  const ledger::Tokens used = std::clamp(aUsed, ledger::Tokens{ 0 }, aReserved);
  grants_.Release(aBudget, aReserved - used);
  grants_.Spend(aBudget, used);
  if (used > 0) {
    unreportedUsage_[aBudget] += used;
  }
  ServeWaiters(aBudget);
}

void
Biller::ReturnIdle(int64_t aNowMs)
{
  // Only while control is reachable: without it no new grant can be had.
  for (const auto& idle : grants_.ReturnIdle(aNowMs)) {
    transfers_.Submit(idle.budget_, idle.amount_, idle);
  }
  std::erase_if(queues_, [this](const auto& aPair) {
    const auto& [budget, queue] = aPair;
    return queue.waiters_.IsEmpty() && !queue.openRequest_ &&
           !prefetcher_.IsPending(budget);
  });
}

void
Biller::Reserve(const Reservation& aReservation, ReserveHook aHook)
{
  const int64_t now = EventLoop::NowMs();
  const auto& [budget, amount, owner, takesUp] = aReservation;
  const auto queue = queues_.find(budget);
  const bool hasWaiters =
    queue != queues_.end() && !queue->second.waiters_.IsEmpty();
  if (!hasWaiters && grants_.Reserve(budget, amount, now)) {
    // In usage-reporting mode grants are prefetched at intervals, and in
    // between only if the next interval is not covered.
    if (!options_.reportsUsage_ ||
        grants_.RunsOutWithin(budget, ReportIntervalMs(), now)) {
      prefetcher_.Refill(budget);
    }
    aHook(absl::OkStatus());
    return;
  }
  BudgetQueue& waiting = queues_[budget];
  if (amount >= waiting.refusedLoan_ && now < waiting.refusedLoanUntilMs_ &&
      !options_.control_.IsReachable()) {
    aHook(NoLenderError());
    return;
  }
  waiting.waiters_.Add({ .owner_ = owner,
                         .amount_ = amount,
                         .sinceMs_ = now,
                         .takesUp_ = takesUp,
                         .hook_ = std::move(aHook) });
  if (takesUp) {
    ServeWaiters(budget);
  }
  RequestForWaiters(budget);
}

GrantWaitStatus
Biller::GrantWaitStatusOf(const std::string& aBudget) const
{
  GrantWaitStatus wait{ .control_ = options_.control_.Times() };
  const auto found = queues_.find(aBudget);
  if (found != queues_.end()) {
    const BudgetQueue& queue = found->second;
    wait.waiting_ = static_cast<int64_t>(queue.waiters_.Size());
    wait.grantRequestAgeMs_ =
      queue.openRequest_ ? EventLoop::NowMs() - queue.openRequest_->sinceMs_
                         : 0;
  }
  return wait;
}

void
Biller::CancelReserve(int64_t aOwner)
{
  std::vector<std::string> left;
  for (auto& [budget, queue] : queues_) {
    if (queue.waiters_.Cancel(aOwner)) {
      left.push_back(budget);
    }
  }
  for (const auto& budget : left) {
    ServeWaiters(budget);
    RequestForWaiters(budget);
  }
}

void
Biller::RequestForWaiters(const std::string& aBudget)
{
  BudgetQueue& queue = queues_[aBudget];
  const int64_t now = EventLoop::NowMs();
  if (queue.openRequest_ || queue.waiters_.IsEmpty() ||
      now < queue.waiters_.First().retryAtMs_) {
    return;
  }
  const WaitingReservation& first = queue.waiters_.First();
  auto request =
    grants_.Ask(aBudget, first.amount_, now, queue.waiters_.TotalAmount());
  request.takesUp_ = first.takesUp_;
  queue.openRequest_ = { .want_ = request.want_, .sinceMs_ = now };
  options_.control_.Submit(
    request, [this, request](const ledger::OpResult& aResult) {
      queues_[request.budget_].openRequest_.reset();
      if (const auto* grant = std::get_if<ledger::GrantResult>(&aResult)) {
        OnGrant(request, *grant);
      }
    });
  if (options_.reportsUsage_) {
    // In the same batch, so that later reservations need no extra round trip.
    prefetcher_.Refill(aBudget);
  }
}

ledger::Tokens
Biller::ExpectedSurplus(const std::string& aBudget) const
{
  const auto found = queues_.find(aBudget);
  if (found == queues_.end() || !found->second.openRequest_) {
    return 0;
  }
  const BudgetQueue& queue = found->second;
  const ledger::Tokens needed = std::max(
    ledger::Tokens{ 0 }, queue.waiters_.TotalAmount() - grants_.Free(aBudget));
  return std::max(ledger::Tokens{ 0 }, queue.openRequest_->want_ - needed);
}

void
Biller::OnGrant(const ledger::AcquireGrant& aRequest,
                const ledger::GrantResult& aResult)
{
  const std::string& budget = aRequest.budget_;
  BudgetQueue& queue = queues_[budget];
  if (aResult.granted_ > 0) {
    options_.metrics_.Count(Counter::kGrantsAcquired);
    grants_.OnGranted(budget, aResult.granted_);
  }
  ServeWaiters(budget);
  if (aResult.granted_ == 0 && !queue.waiters_.IsEmpty()) {
    OnDenied(aRequest, aResult);
  }
  // Smaller reservations behind a failed one may still fit.
  ServeWaiters(budget);
  if (std::exchange(queue.recalled_, false)) {
    ReturnRecalled(budget);
  }
  if (!prefetcher_.IsPending(budget)) {
    RequestForWaiters(budget);
  }
}

void
Biller::OnDenied(const ledger::AcquireGrant& aRequest,
                 const ledger::GrantResult& aResult)
{
  options_.metrics_.Count(Counter::kGrantsDenied);
  ReservationQueue& waiters = queues_[aRequest.budget_].waiters_;
  WaitingReservation& first = waiters.First();
  if (!aResult.budgetExists_) {
    waiters.FailFirst(MakeError(
      ErrorKind::kUnknownResource, "budget", "the budget does not exist"));
    return;
  }
  if (first.amount_ - grants_.Free(aRequest.budget_) < aRequest.minimum_ ||
      (first.takesUp_ && !aRequest.takesUp_)) {
    // Requested for a reservation that has been cancelled, served or overtaken.
    return;
  }
  switch (
    ClassifyDenial(DeniedBudgetOf(aRequest.budget_, aResult), first.amount_)) {
    case DenialOutcome::kExhausted:
      waiters.Fail(first.amount_,
                   MakeError(ErrorKind::kBudgetExhausted,
                             "budget",
                             "the budget does not cover the request"));
      break;
    case DenialOutcome::kHeldForGood:
      waiters.Fail(first.amount_,
                   MakeError(ErrorKind::kBudgetHeldForGood,
                             "budget",
                             "the rest of the budget is held by dead routers"));
      break;
    case DenialOutcome::kMayBeCovered:
      if (++first.attempts_ >= options_.maxAttempts_) {
        waiters.FailFirst(HeldElsewhereError());
      } else {
        first.retryAtMs_ = EventLoop::NowMs() + kDenialRetryMs;
      }
  }
}

DeniedBudget
Biller::DeniedBudgetOf(const std::string& aBudget,
                       const ledger::GrantResult& aResult) const
{
  return { .reply_ = aResult,
           .granted_ = grants_.Granted(aBudget),
           .free_ = grants_.Free(aBudget),
           .unconfirmed_ = transfers_.Unconfirmed(aBudget),
           .lentInFlight_ = loans_.MaxPendingAmount(aBudget),
           .reportsUsage_ = options_.reportsUsage_ };
}

void
Biller::ServeWaiters(const std::string& aBudget)
{
  queues_[aBudget].waiters_.Serve([&](ledger::Tokens aAmount) {
    return grants_.Reserve(aBudget, aAmount, EventLoop::NowMs());
  });
}

bool
Biller::IsReplyExpected(const BudgetQueue& aQueue, int64_t aNowMs) const
{
  return aQueue.openRequest_ && options_.control_.IsReachable() &&
         aNowMs - aQueue.openRequest_->sinceMs_ <=
           kRoundTripsPerRequest * options_.control_.Times().lastRoundTripMs_;
}

void
Biller::ExpireReservations(int64_t aNowMs)
{
  const bool reachable = options_.control_.IsReachable();
  if (reachable && !options_.reportsUsage_) {
    return;
  }
  // Without control, a router refuses only what its grants do not cover.
  for (auto& [budget, queue] : queues_) {
    ServeWaiters(budget);
    while (!queue.waiters_.IsEmpty() && !IsReplyExpected(queue, aNowMs) &&
           aNowMs - queue.waiters_.OldestMs() > options_.reserveTimeoutMs_) {
      queue.waiters_.FailOldest(
        reachable
          ? HeldElsewhereError()
          : MakeError(ErrorKind::kControlUnreachable,
                      "budget",
                      "control is unreachable and the grants are used up"));
      ServeWaiters(budget);
    }
  }
}

void
Biller::Release(const std::string& aBudget, ledger::Tokens aAmount)
{
  grants_.Release(aBudget, aAmount);
  ServeWaiters(aBudget);
}

void
Biller::OnRecall(const std::string& aBudget)
{
  options_.metrics_.Count(Counter::kGrantsRecalled);
  const auto queue = queues_.find(aBudget);
  if (queue != queues_.end() && queue->second.openRequest_ &&
      !queue->second.waiters_.IsEmpty()) {
    queue->second.recalled_ = true;
  } else {
    ReturnRecalled(aBudget);
  }
}

void
Biller::ReturnRecalled(const std::string& aBudget)
{
  const auto queue = queues_.find(aBudget);
  const ledger::Tokens kept =
    queue == queues_.end()
      ? 0
      : queue->second.waiters_.AmountCoveredBy(grants_.Free(aBudget));
  const auto given = grants_.Recall(aBudget, EventLoop::NowMs(), kept);
  if (given) {
    transfers_.Submit(aBudget, given->amount_, *given);
  }
}

void
Biller::ReturnAll()
{
  returnedAll_ = true;
  ReportUsage();
  for (const auto& given : grants_.ReturnAll()) {
    transfers_.Submit(given.budget_, given.amount_, given);
  }
}

} // namespace cactuswick::router

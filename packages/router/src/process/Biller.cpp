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
/// Wait before a grant that was denied is asked for again.
constexpr int64_t kAskAgainMs = 100;
constexpr int64_t kIdleCheckMs = 2'000;
/// Cut off and refused by those who could lend, a router tries again after
/// this long.
constexpr int64_t kUnlentMs = 300;
/// A request waits this long for control before other routers are asked.
constexpr int64_t kBorrowAfterMs = 60;
/// An ask waits for the batch before its own, so that it takes two trips.
constexpr int64_t kTripsPerAsk = 2;
/// Part of the recent use that is borrowed ahead.
constexpr ledger::Tokens kBorrowDivisor = 4;

absl::Status
Unlent()
{
  return MakeError(ErrorKind::kControlUnreachable,
                   "budget",
                   "cut off from control, and no router can lend");
}

} // namespace

Biller::Biller(EventLoop& aLoop, const BillerOptions& aOptions)
  : options_(aOptions)
  , grants_(aOptions.grants_)
  , loans_(aLoop,
           { .from_ = aOptions.from_,
             .answerMs_ = aOptions.reserveTimeoutMs_,
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
                 OnNobodyLends(aBudget, aMinimum);
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
    AskForWaiters(budget);
  }
  for (const auto& [budget, queue] : queues_) {
    if (options_.reportsUse_ && !queue.waiters_.empty() &&
        now - queue.waiters_.front().sinceMs_ >= kBorrowAfterMs) {
      Borrow(budget, now);
    }
  }
  ExpireReserves(now);
  ExpireSettles(now);
  if (!options_.control_.IsReachable()) {
    CopyPending();
  } else if (now - lastIdleMs_ > kIdleCheckMs) {
    lastIdleMs_ = now;
    ReturnIdle(now);
  }
  if (options_.control_.IsReachable() && now - lastReportMs_ > ReportMs()) {
    lastReportMs_ = now;
    ReportUses();
    AskAheadForAll();
  }
}

void
Biller::ReportUses()
{
  for (const auto& [budget, amount] : std::exchange(unreported_, {})) {
    options_.control_.Submit(ledger::ReportUsage{ budget, amount });
  }
}

void
Biller::Borrow(const std::string& aBudget, int64_t aNowMs)
{
  const BudgetQueue& queue = queues_[aBudget];
  const ledger::Tokens needed = WaitedFor(queue) - grants_.Free(aBudget);
  const ledger::Tokens first =
    queue.waiters_.front().amount_ - grants_.Free(aBudget);
  const ledger::Tokens ahead =
    grants_.RecentUseOf(aBudget, aNowMs) / kBorrowDivisor;
  loans_.Ask(aBudget, needed + ahead, std::max(ledger::Tokens{ 1 }, first));
}

void
Biller::OnNobodyLends(const std::string& aBudget, ledger::Tokens aMinimum)
{
  if (options_.control_.IsReachable()) {
    return;
  }
  BudgetQueue& queue = queues_[aBudget];
  if (!queue.waiters_.empty()) {
    queue.unlent_ = grants_.Free(aBudget) + aMinimum;
    queue.unlentUntilMs_ = EventLoop::NowMs() + kUnlentMs;
    FailFrom(aBudget, queue.unlent_, Unlent());
  }
  // Smaller requests may still fit.
  ServeWaiters(aBudget);
}

void
Biller::FailFrom(const std::string& aBudget,
                 ledger::Tokens aLeast,
                 const absl::Status& aStatus)
{
  auto& waiters = queues_[aBudget].waiters_;
  const auto fails = [aLeast, last = lastWaiter_](const ReserveWaiter& aOne) {
    return aOne.amount_ >= aLeast && aOne.number_ <= last;
  };
  for (auto failed = std::find_if(waiters.begin(), waiters.end(), fails);
       failed != waiters.end();
       failed = std::find_if(waiters.begin(), waiters.end(), fails)) {
    const ReserveHook hook = std::move(failed->hook_);
    waiters.erase(failed);
    hook(aStatus);
  }
}

ledger::Tokens
Biller::WaitedFor(const BudgetQueue& aQueue)
{
  ledger::Tokens sum = 0;
  for (const auto& waiter : aQueue.waiters_) {
    sum += waiter.amount_;
  }
  return sum;
}

int64_t
Biller::ReportMs() const
{
  return routing::ReportIntervalMs(options_.config_.ServingRouters());
}

ledger::Tokens
Biller::LendTo(const transport::LendRequest& aRequest)
{
  const auto queue = queues_.find(aRequest.budget_);
  if (queue != queues_.end() && !queue->second.waiters_.empty()) {
    // Their ask counts on what is free.
    return 0;
  }
  const ledger::Tokens lent =
    grants_.Lend(aRequest.budget_, aRequest.want_, aRequest.minimum_);
  if (lent > 0) {
    options_.metrics_.Count(Counter::kTokensLent, lent);
    Log(Part::kBilling,
        Level::kInfo,
        model::Concat("lends budget=",
                      aRequest.budget_,
                      " tokens=",
                      lent,
                      " to=",
                      aRequest.borrower_,
                      " left=",
                      grants_.Free(aRequest.budget_)));
    // Committed once control is reachable; until then the whole share counts
    // as this router's.
    SubmitGiven(
      aRequest.budget_,
      lent,
      ledger::MoveGrant{ aRequest.budget_, aRequest.borrower_, lent });
  }
  return lent;
}

void
Biller::SubmitGiven(const std::string& aBudget,
                    ledger::Tokens aAmount,
                    ledger::RouterOp aOp)
{
  givenAway_[aBudget] += aAmount;
  options_.control_.Submit(std::move(aOp),
                           [this, aBudget, aAmount](const ledger::OpResult&) {
                             if ((givenAway_[aBudget] -= aAmount) == 0) {
                               givenAway_.erase(aBudget);
                             }
                           });
}

transport::LendReply
Biller::OnLend(const transport::LendRequest& aRequest)
{
  return loans_.On(aRequest);
}

void
Biller::AskAheadForAll()
{
  // In one batch: what is asked for within one turn of the loop shares an
  // entry of the log.
  for (const auto& budget : grants_.Budgets()) {
    AskAhead(budget);
  }
}

void
Biller::Use(const std::string& aBudget,
            ledger::Tokens aReserved,
            ledger::Tokens aUsed)
{
  const ledger::Tokens used = std::clamp(aUsed, ledger::Tokens{ 0 }, aReserved);
  grants_.Release(aBudget, aReserved - used);
  grants_.Spend(aBudget, used);
  if (used > 0) {
    unreported_[aBudget] += used;
  }
  ServeWaiters(aBudget);
}

void
Biller::Provide(const std::string& aBudget, ledger::Tokens aWant)
{
  const ledger::Tokens want = aWant - ComingFree(aBudget);
  if (grants_.Granted(aBudget) == 0 && want > 0 &&
      !queues_[aBudget].asksAhead_) {
    SubmitAhead({ aBudget, want, 1, true });
  }
}

void
Biller::ReturnIdle(int64_t aNowMs)
{
  // Only while control is reachable: cut off, a grant is all there is.
  for (const auto& idle : grants_.ReturnIdle(aNowMs)) {
    SubmitGiven(idle.budget_, idle.amount_, idle);
  }
  std::erase_if(queues_, [](const auto& aPair) {
    const BudgetQueue& queue = aPair.second;
    return queue.waiters_.empty() && !queue.openAsk_ && !queue.asksAhead_;
  });
}

void
Biller::Reserve(const std::string& aBudget,
                ledger::Tokens aAmount,
                int64_t aOwner,
                ReserveHook aHook)
{
  const int64_t now = EventLoop::NowMs();
  const auto queue = queues_.find(aBudget);
  const bool others = queue != queues_.end() && !queue->second.waiters_.empty();
  if (!others && grants_.Reserve(aBudget, aAmount, now)) {
    // Those that report use ask ahead at intervals, and between them once
    // the next interval is not covered.
    if (!options_.reportsUse_ ||
        grants_.RunsOutWithin(aBudget, ReportMs(), now)) {
      AskAhead(aBudget);
    }
    aHook(absl::OkStatus());
    return;
  }
  BudgetQueue& waiting = queues_[aBudget];
  if (aAmount >= waiting.unlent_ && now < waiting.unlentUntilMs_ &&
      !options_.control_.IsReachable()) {
    aHook(Unlent());
    return;
  }
  waiting.waiters_.push_back({ .number_ = ++lastWaiter_,
                               .owner_ = aOwner,
                               .amount_ = aAmount,
                               .sinceMs_ = now,
                               .hook_ = std::move(aHook) });
  AskForWaiters(aBudget);
}

BudgetWait
Biller::WaitFor(const std::string& aBudget) const
{
  BudgetWait wait{ .control_ = options_.control_.Times() };
  const auto found = queues_.find(aBudget);
  if (found != queues_.end()) {
    const BudgetQueue& queue = found->second;
    wait.waiting_ = static_cast<int64_t>(queue.waiters_.size());
    wait.askOpenMs_ =
      queue.openAsk_ ? EventLoop::NowMs() - queue.openAsk_->sinceMs_ : 0;
  }
  return wait;
}

void
Biller::CancelReserve(int64_t aOwner)
{
  std::vector<std::string> left;
  for (auto& [budget, queue] : queues_) {
    const size_t gone =
      std::erase_if(queue.waiters_, [&](const ReserveWaiter& aWaiter) {
        return aWaiter.owner_ == aOwner;
      });
    if (gone > 0) {
      left.push_back(budget);
    }
  }
  for (const auto& budget : left) {
    ServeWaiters(budget);
    AskForWaiters(budget);
  }
}

void
Biller::AskForWaiters(const std::string& aBudget)
{
  BudgetQueue& queue = queues_[aBudget];
  const int64_t now = EventLoop::NowMs();
  if (queue.openAsk_ || queue.waiters_.empty() ||
      now < queue.waiters_.front().askAgainMs_) {
    return;
  }
  const auto ask =
    grants_.Ask(aBudget, queue.waiters_.front().amount_, now, WaitedFor(queue));
  queue.openAsk_ = { .want_ = ask.want_, .sinceMs_ = now };
  options_.control_.Submit(
    ask,
    [this, aBudget, minimum = ask.minimum_](const ledger::OpResult& aResult) {
      queues_[aBudget].openAsk_.reset();
      if (const auto* grant = std::get_if<ledger::GrantResult>(&aResult)) {
        OnGrant(aBudget, minimum, *grant);
      }
    });
  if (options_.reportsUse_) {
    // In the same batch, so that those to come don't wait for another trip.
    AskAhead(aBudget);
  }
}

ledger::Tokens
Biller::ComingFree(const std::string& aBudget) const
{
  const auto found = queues_.find(aBudget);
  if (found == queues_.end() || !found->second.openAsk_) {
    return 0;
  }
  const BudgetQueue& queue = found->second;
  const ledger::Tokens needed =
    std::max(ledger::Tokens{ 0 }, WaitedFor(queue) - grants_.Free(aBudget));
  return std::max(ledger::Tokens{ 0 }, queue.openAsk_->want_ - needed);
}

void
Biller::AskAhead(const std::string& aBudget)
{
  const auto ask =
    grants_.PlanRefill(aBudget, EventLoop::NowMs(), ComingFree(aBudget));
  if (ask && !queues_[aBudget].asksAhead_) {
    SubmitAhead(*ask);
  }
}

void
Biller::SubmitAhead(const ledger::AcquireGrant& aAsk)
{
  queues_[aAsk.budget_].asksAhead_ = true;
  options_.control_.Submit(
    aAsk, [this, budget = aAsk.budget_](const ledger::OpResult& aResult) {
      const auto* grant = std::get_if<ledger::GrantResult>(&aResult);
      OnGrantAhead(budget, grant == nullptr ? 0 : grant->granted_);
    });
}

void
Biller::OnGrantAhead(const std::string& aBudget, ledger::Tokens aGranted)
{
  queues_[aBudget].asksAhead_ = false;
  if (aGranted > 0) {
    grants_.OnGranted(aBudget, aGranted);
  } else {
    grants_.OnDenied(aBudget, EventLoop::NowMs());
  }
  ServeWaiters(aBudget);
  AskForWaiters(aBudget);
}

void
Biller::OnGrant(const std::string& aBudget,
                ledger::Tokens aMinimum,
                const ledger::GrantResult& aResult)
{
  BudgetQueue& queue = queues_[aBudget];
  if (aResult.granted_ > 0) {
    options_.metrics_.Count(Counter::kGrantsAcquired);
    grants_.OnGranted(aBudget, aResult.granted_);
  }
  ServeWaiters(aBudget);
  if (aResult.granted_ == 0 && !queue.waiters_.empty()) {
    OnDenied(aBudget, aMinimum, aResult);
  }
  // Smaller requests behind one that failed may still fit.
  ServeWaiters(aBudget);
  if (std::exchange(queue.recalled_, false)) {
    GiveBack(aBudget);
  }
  if (!queue.asksAhead_) {
    AskForWaiters(aBudget);
  }
}

void
Biller::OnDenied(const std::string& aBudget,
                 ledger::Tokens aMinimum,
                 const ledger::GrantResult& aResult)
{
  options_.metrics_.Count(Counter::kGrantsDenied);
  ReserveWaiter& first = queues_[aBudget].waiters_.front();
  if (!aResult.budgetExists_) {
    FailFirst(aBudget,
              MakeError(ErrorKind::kUnknownResource,
                        "budget",
                        "the budget does not exist"));
    return;
  }
  if (first.amount_ - grants_.Free(aBudget) < aMinimum) {
    // The denied amount was for one that has left or was served.
    return;
  }
  if (IsExhausted(aBudget, first.amount_, aResult)) {
    FailFrom(aBudget,
             first.amount_,
             MakeError(ErrorKind::kBudgetExhausted,
                       "budget",
                       "the budget does not cover the request"));
  } else if (options_.reportsUse_ &&
             Unbilled(aBudget, aResult) - aResult.held_ < first.amount_) {
    FailFrom(aBudget,
             first.amount_,
             MakeError(ErrorKind::kBudgetHeldForGood,
                       "budget",
                       "the rest of the budget is held by dead routers"));
  } else if (++first.tries_ >= options_.maxTries_) {
    FailFirst(aBudget,
              MakeError(ErrorKind::kBudgetHeldElsewhere,
                        "budget",
                        "the rest of the budget is held or in use"));
  } else {
    first.askAgainMs_ = EventLoop::NowMs() + kAskAgainMs;
  }
}

ledger::Tokens
Biller::Unbilled(const std::string& aBudget,
                 const ledger::GrantResult& aResult) const
{
  const auto given = givenAway_.find(aBudget);
  // The ledger may count a loan as this router's before it has come.
  return aResult.available_ + aResult.elsewhere_ + grants_.Granted(aBudget) +
         loans_.MayCome(aBudget) +
         (given == givenAway_.end() ? 0 : given->second);
}

bool
Biller::IsExhausted(const std::string& aBudget,
                    ledger::Tokens aAmount,
                    const ledger::GrantResult& aResult) const
{
  const ledger::Tokens reservedHere =
    grants_.Granted(aBudget) - grants_.Free(aBudget);
  const bool nothingToCome = aResult.elsewhere_ == 0 && reservedHere == 0;
  return (nothingToCome || options_.reportsUse_) &&
         Unbilled(aBudget, aResult) < aAmount;
}

void
Biller::ServeWaiters(const std::string& aBudget)
{
  BudgetQueue& queue = queues_[aBudget];
  if (std::exchange(queue.serving_, true)) {
    return;
  }
  auto& waiters = queue.waiters_;
  while (
    !waiters.empty() &&
    grants_.Reserve(aBudget, waiters.front().amount_, EventLoop::NowMs())) {
    const ReserveHook hook = std::move(waiters.front().hook_);
    waiters.pop_front();
    hook(absl::OkStatus());
  }
  queue.serving_ = false;
}

bool
Biller::IsAnswerDue(const BudgetQueue& aQueue, int64_t aNowMs) const
{
  return aQueue.openAsk_ && options_.control_.IsReachable() &&
         aNowMs - aQueue.openAsk_->sinceMs_ <=
           kTripsPerAsk * options_.control_.Times().lastTripMs_;
}

void
Biller::FailFirst(const std::string& aBudget, const absl::Status& aStatus)
{
  auto& waiters = queues_[aBudget].waiters_;
  const ReserveHook hook = std::move(waiters.front().hook_);
  waiters.pop_front();
  hook(aStatus);
}

void
Biller::ExpireReserves(int64_t aNowMs)
{
  const bool reachable = options_.control_.IsReachable();
  if (reachable && !options_.reportsUse_) {
    return;
  }
  // Cut off from control, a router refuses only what its grants do not cover.
  for (auto& [budget, queue] : queues_) {
    ServeWaiters(budget);
    while (!queue.waiters_.empty() && !IsAnswerDue(queue, aNowMs) &&
           aNowMs - queue.waiters_.front().sinceMs_ >
             options_.reserveTimeoutMs_) {
      FailFirst(budget,
                reachable
                  ? MakeError(ErrorKind::kBudgetHeldElsewhere,
                              "budget",
                              "the rest of the budget is held or in use")
                  : MakeError(ErrorKind::kControlUnreachable,
                              "budget",
                              "cut off from control and past its grants"));
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
  if (queue != queues_.end() && queue->second.openAsk_ &&
      !queue->second.waiters_.empty()) {
    queue->second.recalled_ = true;
  } else {
    GiveBack(aBudget);
  }
}

void
Biller::GiveBack(const std::string& aBudget)
{
  const auto given =
    grants_.Recall(aBudget, EventLoop::NowMs(), CoversWaiters(aBudget));
  if (given) {
    SubmitGiven(aBudget, given->amount_, *given);
  }
}

ledger::Tokens
Biller::CoversWaiters(const std::string& aBudget) const
{
  const auto queue = queues_.find(aBudget);
  if (queue == queues_.end()) {
    return 0;
  }
  const ledger::Tokens free = grants_.Free(aBudget);
  ledger::Tokens sum = 0;
  for (const auto& waiter : queue->second.waiters_) {
    sum += sum + waiter.amount_ <= free ? waiter.amount_ : 0;
  }
  return sum;
}

void
Biller::ReturnAll()
{
  ReportUses();
  for (const auto& given : grants_.ReturnAll()) {
    SubmitGiven(given.budget_, given.amount_, given);
  }
}

} // namespace cactuswick::router

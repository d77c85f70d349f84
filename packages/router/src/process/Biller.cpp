#include "process/Biller.h"

#include <algorithm>
#include <utility>

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
using telemetry::Summary;
using transport::EventLoop;

constexpr int64_t kTickMs = 50;
/// Wait before a grant that was denied is asked for again.
constexpr int64_t kAskAgainMs = 100;
constexpr int64_t kIdleCheckMs = 2'000;
/// Interval between reports of use.
constexpr int64_t kReportMs = 500;
/// A request waits this long for control before other routers are asked.
constexpr int64_t kBorrowAfterMs = 60;
/// Part of the recent use that is borrowed ahead.
constexpr ledger::Tokens kBorrowDivisor = 4;

} // namespace

Biller::Biller(EventLoop& aLoop, const BillerOptions& aOptions)
  : options_(aOptions)
  , grants_(aOptions.grants_)
  , loans_(aLoop,
           { .from_ = aOptions.from_,
             .self_ = [this] { return options_.control_.Incarnation(); },
             .routers_ = [this] { return options_.config_.Routers(); },
             .lend_ =
               [this](const transport::LendRequest& aRequest) {
                 return LendTo(aRequest);
               },
             .onLent_ =
               [this](const std::string& aBudget, ledger::Tokens aAmount) {
                 grants_.OnGranted(aBudget, aAmount);
                 ServeWaiters(aBudget);
               },
             .onRefused_ =
               [this](const std::string& aBudget) { OnNobodyLends(aBudget); } })
  , tick_(aLoop, [this] { OnTick(); })
{
  tick_.StartRepeating(kTickMs);
}

void
Biller::OnTick()
{
  const int64_t now = EventLoop::NowMs();
  for (auto& [budget, queue] : queues_) {
    if (!queue.waiters_.empty() && !queue.asking_ && now >= queue.askAgainMs_) {
      AskNext(budget);
    }
  }
  for (const auto& [budget, queue] : queues_) {
    if (options_.borrows_ && !queue.waiters_.empty() &&
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
  if (options_.control_.IsReachable() && now - lastReportMs_ > kReportMs) {
    lastReportMs_ = now;
    ReportUses();
    AskAheadForAll();
  }
}

void
Biller::ReportUses()
{
  for (const auto& [budget, amount] : std::exchange(unreported_, {})) {
    options_.control_.Submit(ledger::ReportUse{ budget, amount });
  }
}

void
Biller::Borrow(const std::string& aBudget, int64_t aNowMs)
{
  const BudgetQueue& queue = queues_[aBudget];
  ledger::Tokens needed = -grants_.Free(aBudget);
  for (const auto& waiter : queue.waiters_) {
    needed += waiter.amount_;
  }
  const ledger::Tokens first =
    queue.waiters_.front().amount_ - grants_.Free(aBudget);
  const ledger::Tokens ahead =
    grants_.RecentUseOf(aBudget, aNowMs) / kBorrowDivisor;
  loans_.Ask(aBudget, needed + ahead, std::max(ledger::Tokens{ 1 }, first));
}

void
Biller::OnNobodyLends(const std::string& aBudget)
{
  if (options_.control_.IsReachable()) {
    return;
  }
  auto& waiters = queues_[aBudget].waiters_;
  if (!waiters.empty()) {
    FailFirst(aBudget,
              MakeError(ErrorKind::kControlUnreachable,
                        "budget",
                        "cut off from control, and no router can lend"));
  }
}

ledger::Tokens
Biller::LendTo(const transport::LendRequest& aRequest)
{
  const ledger::Tokens lent =
    grants_.Lend(aRequest.budget_, aRequest.want_, aRequest.minimum_);
  if (lent > 0) {
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
    options_.control_.Submit(
      ledger::MoveGrant{ aRequest.budget_, aRequest.borrower_, lent });
  }
  return lent;
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
  if (grants_.Granted(aBudget) == 0 && !queues_[aBudget].asking_) {
    AskFor({ aBudget, aWant, 1, true });
  }
}

void
Biller::ReturnIdle(int64_t aNowMs)
{
  // Only while control is reachable: cut off, a grant is all there is.
  for (const auto& idle : grants_.CollectIdle(aNowMs)) {
    options_.control_.Submit(idle);
  }
  std::erase_if(queues_, [](const auto& aPair) {
    return aPair.second.waiters_.empty() && !aPair.second.asking_;
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
    if (!options_.asksTogether_) {
      AskAhead(aBudget);
    }
    aHook(absl::OkStatus());
    return;
  }
  BudgetQueue& waiting = queues_[aBudget];
  waiting.waiters_.push_back({ aOwner, aAmount, now, 0, std::move(aHook) });
  if (!waiting.asking_) {
    AskNext(aBudget);
  }
}

void
Biller::CancelReserve(int64_t aOwner)
{
  for (auto& [budget, queue] : queues_) {
    std::erase_if(queue.waiters_, [&](const ReserveWaiter& aWaiter) {
      return aWaiter.owner_ == aOwner;
    });
  }
}

void
Biller::AskNext(const std::string& aBudget)
{
  BudgetQueue& queue = queues_[aBudget];
  queue.asking_ = true;
  const auto ask =
    grants_.Ask(aBudget, queue.waiters_.front().amount_, EventLoop::NowMs());
  options_.control_.Submit(
    ask, [this, aBudget](const ledger::OpResult& aResult) {
      if (const auto* grant = std::get_if<ledger::GrantResult>(&aResult)) {
        OnGrant(aBudget, *grant);
      }
    });
}

void
Biller::AskAhead(const std::string& aBudget)
{
  const auto ask = grants_.Refill(aBudget, EventLoop::NowMs());
  BudgetQueue& queue = queues_[aBudget];
  if (!ask || queue.asking_) {
    return;
  }
  AskFor(*ask);
}

void
Biller::AskFor(const ledger::AcquireGrant& aAsk)
{
  queues_[aAsk.budget_].asking_ = true;
  options_.control_.Submit(
    aAsk, [this, budget = aAsk.budget_](const ledger::OpResult& aResult) {
      queues_[budget].asking_ = false;
      const auto* grant = std::get_if<ledger::GrantResult>(&aResult);
      if (grant != nullptr && grant->granted_ > 0) {
        grants_.OnGranted(budget, grant->granted_);
      } else {
        grants_.OnDenied(budget, EventLoop::NowMs());
      }
      ServeWaiters(budget);
    });
}

void
Biller::OnGrant(const std::string& aBudget, const ledger::GrantResult& aResult)
{
  BudgetQueue& queue = queues_[aBudget];
  queue.asking_ = false;
  if (aResult.granted_ > 0) {
    options_.metrics_.Count(Counter::kGrantsAcquired);
    grants_.OnGranted(aBudget, aResult.granted_);
    ServeWaiters(aBudget);
  } else if (!queue.waiters_.empty()) {
    options_.metrics_.Count(Counter::kGrantsDenied);
    ReserveWaiter& first = queue.waiters_.front();
    const ledger::Tokens reservedHere =
      grants_.Granted(aBudget) - grants_.Free(aBudget);
    const bool mayComeBack = aResult.elsewhere_ > 0 || reservedHere > 0;
    if (!aResult.budgetExists_) {
      FailFirst(aBudget,
                MakeError(ErrorKind::kUnknownResource,
                          "budget",
                          "the budget does not exist"));
    } else if (!mayComeBack) {
      FailFirst(aBudget,
                MakeError(ErrorKind::kBudgetExhausted,
                          "budget",
                          "the budget does not cover the request"));
    } else if (++first.tries_ >= options_.maxTries_) {
      FailFirst(aBudget,
                MakeError(ErrorKind::kBudgetHeldElsewhere,
                          "budget",
                          "the rest of the budget is in use; retry later"));
    }
  }
  // Smaller requests behind one that failed may still fit.
  queue.askAgainMs_ = EventLoop::NowMs() + kAskAgainMs;
  ServeWaiters(aBudget);
}

void
Biller::ServeWaiters(const std::string& aBudget)
{
  auto& waiters = queues_[aBudget].waiters_;
  while (
    !waiters.empty() &&
    grants_.Reserve(aBudget, waiters.front().amount_, EventLoop::NowMs())) {
    const ReserveHook hook = std::move(waiters.front().hook_);
    waiters.pop_front();
    hook(absl::OkStatus());
  }
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
  if (reachable && !options_.expiresAlways_) {
    return;
  }
  // Cut off from control, a router refuses only what its grants do not cover.
  for (auto& [budget, queue] : queues_) {
    while (!queue.waiters_.empty() && aNowMs - queue.waiters_.front().sinceMs_ >
                                        options_.reserveTimeoutMs_) {
      FailFirst(budget,
                reachable
                  ? MakeError(ErrorKind::kBudgetHeldElsewhere,
                              "budget",
                              "the rest of the budget is in use; retry later")
                  : MakeError(ErrorKind::kControlUnreachable,
                              "budget",
                              "cut off from control and past its grants"));
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
Biller::Settle(const ledger::Settle& aSettle,
               ledger::Tokens aReserved,
               SettleHook aHook)
{
  ledger::Settle settle = aSettle;
  settle.holder_ = options_.control_.Incarnation();
  settle.amount_ = std::clamp(settle.amount_, ledger::Tokens{ 0 }, aReserved);
  grants_.Release(settle.budget_, aReserved - settle.amount_);
  const int64_t number = book_.Add(settle);
  settle.number_ = number;
  const int64_t now = EventLoop::NowMs();
  settling_[number] = { std::move(aHook),
                        now + options_.settleTimeoutMs_,
                        now };
  options_.control_.Submit(
    settle, [this, number](const ledger::OpResult& aResult) {
      if (const auto* result = std::get_if<ledger::SettleResult>(&aResult)) {
        OnSettled(number, *result);
      }
    });
  ServeWaiters(settle.budget_);
}

void
Biller::OnSettled(int64_t aNumber, const ledger::SettleResult& aResult)
{
  const auto settle = book_.Committed(aNumber);
  if (!settle) {
    return;
  }
  // What the ledger did not charge stays in the grant.
  const ledger::Tokens charged = std::min(aResult.charged_, settle->amount_);
  grants_.Spend(settle->budget_, charged);
  Release(settle->budget_, settle->amount_ - charged);
  CountSettled(aResult);
  Finish(aNumber, absl::OkStatus());
  if (madeCopies_ && book_.CommittedThrough() > droppedThrough_) {
    droppedThrough_ = book_.CommittedThrough();
    options_.peers_.SendDrop(
      { options_.control_.Incarnation(), droppedThrough_ });
  }
}

void
Biller::CountSettled(const ledger::SettleResult& aResult)
{
  switch (aResult.state_) {
    case ledger::SettleState::kBilled:
      options_.metrics_.Count(Counter::kSettlementsCommitted);
      options_.metrics_.Count(Counter::kTokensBilled, aResult.charged_);
      break;
    case ledger::SettleState::kDuplicate:
      options_.metrics_.Count(Counter::kSettlementsDuplicate);
      options_.metrics_.Count(Counter::kTokensBilled, aResult.charged_);
      break;
    case ledger::SettleState::kHeld:
    case ledger::SettleState::kUnaccounted:
      options_.metrics_.Count(Counter::kSettlementsHeld);
      break;
  }
}

void
Biller::Finish(int64_t aNumber, const absl::Status& aStatus)
{
  const auto found = settling_.find(aNumber);
  if (found == settling_.end()) {
    return;
  }
  const SettleWaiter waiter = std::move(found->second);
  settling_.erase(found);
  options_.metrics_.Observe(
    Summary::kSettleMs,
    static_cast<double>(EventLoop::NowMs() - waiter.startMs_));
  waiter.hook_(aStatus);
}

void
Biller::CopyPending()
{
  const auto uncopied = book_.Uncopied();
  if (uncopied.empty()) {
    return;
  }
  madeCopies_ = true;
  options_.peers_.SendCopies({ options_.control_.Incarnation(), uncopied });
}

void
Biller::OnStored(const transport::CopiesStored& aStored)
{
  for (const int64_t number : aStored.numbers_) {
    if (book_.Copied(number, aStored.keeper_)) {
      options_.metrics_.Count(Counter::kSettlementsCopied);
      Finish(number, absl::OkStatus());
    }
  }
}

void
Biller::OnKeeperLost(ledger::Incarnation aKeeper)
{
  book_.KeeperLost(aKeeper);
}

void
Biller::ExpireSettles(int64_t aNowMs)
{
  std::vector<int64_t> expired;
  for (const auto& [number, waiter] : settling_) {
    if (aNowMs >= waiter.deadlineMs_) {
      expired.push_back(number);
    }
  }
  // Still settled later; only the caller is not kept waiting.
  for (const int64_t number : expired) {
    Finish(number,
           MakeError(ErrorKind::kOutcomeUnknown,
                     "",
                     "the answer could not be settled in time"));
  }
}

void
Biller::OnRecall(const std::string& aBudget)
{
  options_.metrics_.Count(Counter::kGrantsRecalled);
  if (const auto given = grants_.Recall(aBudget, EventLoop::NowMs())) {
    options_.control_.Submit(*given);
  }
}

void
Biller::OnConfig()
{
  const auto self = options_.control_.Incarnation();
  std::set<ledger::Incarnation> dead;
  for (const auto& router : options_.config_.Routers()) {
    const auto& awaiting = router.awaiting_;
    const bool awaited =
      std::find(awaiting.begin(), awaiting.end(), self) != awaiting.end();
    if (router.state_ == ledger::RouterState::kEnded) {
      dead.insert(router.incarnation_);
    }
    if (router.state_ != ledger::RouterState::kEnded || !awaited) {
      continue;
    }
    if (!confirmed_.insert(router.incarnation_).second) {
      continue;
    }
    for (const auto& settle : book_.KeptFor(router.incarnation_)) {
      options_.control_.Submit(settle);
    }
    book_.ForgetHolder(router.incarnation_);
    options_.control_.Submit(ledger::ConfirmNoCopies{ router.incarnation_ });
    Log(Part::kBilling,
        Level::kInfo,
        model::Concat("handed in copies of router ", router.incarnation_));
  }
  // Those that the ledger has forgotten need no more confirmation.
  std::erase_if(confirmed_, [&](ledger::Incarnation aRouter) {
    return !dead.contains(aRouter);
  });
}

std::vector<int64_t>
Biller::OnCopies(const transport::CopySettlements& aCopies)
{
  // Only for routers known to be live: copies of one that was ended, and for
  // which this router may have confirmed, would never be handed in.
  const auto& routers = options_.config_.Routers();
  const bool live =
    std::any_of(routers.begin(), routers.end(), [&](const auto& aRouter) {
      return aRouter.incarnation_ == aCopies.holder_ &&
             aRouter.state_ != ledger::RouterState::kEnded;
    });
  if (!live) {
    return {};
  }
  return book_.Keep(aCopies.holder_, aCopies.settlements_);
}

void
Biller::OnDrop(const transport::DropCopies& aDrop)
{
  book_.Drop(aDrop.holder_, aDrop.through_);
}

bool
Biller::HasSettlementPath() const
{
  return options_.control_.IsReachable() || options_.peers_.HasKeeper();
}

std::optional<ledger::LogTimeMs>
Biller::OldestStart() const
{
  return book_.OldestStart();
}

void
Biller::ReturnAll()
{
  ReportUses();
  for (const auto& given : grants_.ReturnAll()) {
    options_.control_.Submit(given);
  }
}

} // namespace cactuswick::router

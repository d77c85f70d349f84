// Settlements of individual requests: committed by control, or copied to a
// backup router in another failure domain while control is unreachable.

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

} // namespace

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
  settleWaiters_[number] = { std::move(aHook),
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
  const auto settle = book_.OnCommitted(aNumber);
  if (!settle) {
    return;
  }
  // The part that the ledger did not charge stays in the grant.
  const ledger::Tokens charged = std::min(aResult.charged_, settle->amount_);
  grants_.Spend(settle->budget_, charged);
  Release(settle->budget_, settle->amount_ - charged);
  CountSettled(aResult);
  CompleteSettlement(aNumber, absl::OkStatus());
  if (hasSentCopies_ && book_.CommittedThrough() > droppedThrough_) {
    droppedThrough_ = book_.CommittedThrough();
    options_.peers_.SendDropCopies(
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
Biller::CompleteSettlement(int64_t aNumber, const absl::Status& aStatus)
{
  const auto found = settleWaiters_.find(aNumber);
  if (found == settleWaiters_.end()) {
    return;
  }
  const SettleWaiter waiter = std::move(found->second);
  settleWaiters_.erase(found);
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
  hasSentCopies_ = true;
  options_.peers_.SendCopies({ options_.control_.Incarnation(), uncopied });
}

void
Biller::OnCopiesStored(const transport::CopiesStored& aStored)
{
  for (const int64_t number : aStored.numbers_) {
    if (book_.OnCopied(number, aStored.backup_)) {
      options_.metrics_.Count(Counter::kSettlementsCopied);
      CompleteSettlement(number, absl::OkStatus());
    }
  }
}

void
Biller::OnBackupLost(ledger::Incarnation aBackup)
{
  book_.OnBackupLost(aBackup);
}

void
Biller::ExpireSettles(int64_t aNowMs)
{
  std::vector<int64_t> expired;
  for (const auto& [number, waiter] : settleWaiters_) {
    if (aNowMs >= waiter.deadlineMs_) {
      expired.push_back(number);
    }
  }
  // The settlement still completes later; only the caller stops waiting for it.
  for (const int64_t number : expired) {
    CompleteSettlement(number,
                       MakeError(ErrorKind::kOutcomeUnknown,
                                 "",
                                 "the response could not be settled in time"));
  }
}

std::vector<int64_t>
Biller::OnCopies(const transport::CopySettlements& aCopies)
{
  // Only for routers known to be live. This router may already have confirmed
  // that it holds no copies of an ended one; later copies would never be
  // submitted.
  const auto& routers = options_.config_.Routers();
  const bool live =
    std::any_of(routers.begin(), routers.end(), [&](const auto& aRouter) {
      return aRouter.incarnation_ == aCopies.holder_ &&
             aRouter.state_ != ledger::RouterState::kEnded;
    });
  if (!live) {
    return {};
  }
  return book_.StoreCopies(aCopies.holder_, aCopies.settlements_);
}

void
Biller::OnDrop(const transport::DropCopies& aDrop)
{
  book_.DropCopiesThrough(aDrop.holder_, aDrop.through_);
}

bool
Biller::HasSettlementPath() const
{
  return options_.control_.IsReachable() || options_.peers_.HasBackup();
}

std::optional<ledger::LogTimeMs>
Biller::OldestStart() const
{
  return book_.OldestStart();
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
    if (!confirmedRouters_.insert(router.incarnation_).second) {
      continue;
    }
    for (const auto& settle : book_.CopiesFor(router.incarnation_)) {
      options_.control_.Submit(settle);
    }
    book_.DropAllCopies(router.incarnation_);
    options_.control_.Submit(ledger::ConfirmNoCopies{ router.incarnation_ });
    Log(Part::kBilling,
        Level::kInfo,
        model::Concat("submitted copies of router ", router.incarnation_));
  }
  // Routers that the ledger has removed need no further confirmation.
  std::erase_if(confirmedRouters_, [&](ledger::Incarnation aRouter) {
    return !dead.contains(aRouter);
  });
}

} // namespace cactuswick::router

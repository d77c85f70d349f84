#include "process/GrantPrefetcher.h"

#include <utility>
#include <variant>

namespace cactuswick::router {

using transport::EventLoop;

GrantPrefetcher::GrantPrefetcher(GrantPrefetcherOptions aOptions)
  : options_(std::move(aOptions))
{
}

void
GrantPrefetcher::Refill(const std::string& aBudget)
{
  const auto request = options_.grants_.PlanRefill(
    aBudget, EventLoop::NowMs(), options_.expectedSurplus_(aBudget));
  if (request && !IsPending(aBudget)) {
    Submit(*request);
  }
}

void
GrantPrefetcher::RefillAll()
{
  // Requests of one event-loop iteration share a batch, and so one log entry.
  for (const auto& budget : options_.grants_.Budgets()) {
    Refill(budget);
  }
}

void
GrantPrefetcher::RequestFirst(const std::string& aBudget, ledger::Tokens aWant)
{
  const ledger::Tokens want = aWant - options_.expectedSurplus_(aBudget);
  if (options_.grants_.Granted(aBudget) == 0 && want > 0 &&
      !IsPending(aBudget)) {
    Submit({ aBudget, want, 1, true });
  }
}

void
GrantPrefetcher::Submit(const ledger::AcquireGrant& aRequest)
{
  pending_.insert(aRequest.budget_);
  options_.control_.Submit(
    aRequest,
    [this, budget = aRequest.budget_](const ledger::OpResult& aResult) {
      const auto* grant = std::get_if<ledger::GrantResult>(&aResult);
      OnReply(budget, grant == nullptr ? 0 : grant->granted_);
    });
}

void
GrantPrefetcher::OnReply(const std::string& aBudget, ledger::Tokens aGranted)
{
  pending_.erase(aBudget);
  if (aGranted > 0) {
    options_.grants_.OnGranted(aBudget, aGranted);
  } else {
    options_.grants_.OnDenied(aBudget, EventLoop::NowMs());
  }
  options_.onReply_(aBudget);
}

} // namespace cactuswick::router

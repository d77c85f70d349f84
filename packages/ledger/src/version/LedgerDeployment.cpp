// Ledger: the declared deployment and retired endpoints.

#include "cactuswick/ledger/version/Ledger.h"

namespace cactuswick::ledger {

Reply
Ledger::On(const ReplaceDeployment& aCommand)
{
  // Resends and superseded versions are acknowledged without effect.
  if (aCommand.version_ <= deployment_.version_) {
    return Accepted{ deployment_.version_, counters_.revision_ };
  }
  deployment_ = { aCommand.version_,
                  aCommand.document_,
                  ++counters_.revision_ };
  for (const auto& budget : aCommand.budgets_) {
    const std::string name = model::PrepaidBudgetOf(budget.workspace_);
    const auto [account, inserted] = accounts_.try_emplace(name);
    if (inserted) {
      ++budgetCountByWorkspace_[budget.workspace_];
    }
    account->second.toppedUp_ = budget.tokens_;
    account->second.declared_ = true;
    ++account->second.version_;
  }
  return Accepted{ deployment_.version_, counters_.revision_ };
}

Reply
Ledger::On(const RetireEndpoint& aCommand)
{
  RetiredRecord& record = retired_[aCommand.endpoint_];
  if (aCommand.incarnation_ > record.incarnation_) {
    record = { aCommand.endpoint_,
               aCommand.incarnation_,
               ++counters_.revision_,
               counters_.timeMs_ };
  }
  return Accepted{ .revision_ = counters_.revision_ };
}

} // namespace cactuswick::ledger

#include "process/GrantTransfers.h"

#include <utility>

namespace cactuswick::router {

void
GrantTransfers::Submit(const std::string& aBudget,
                       ledger::Tokens aAmount,
                       ledger::RouterOp aOp)
{
  unconfirmed_[aBudget] += aAmount;
  control_.Submit(std::move(aOp),
                  [this, aBudget, aAmount](const ledger::OpResult&) {
                    if ((unconfirmed_[aBudget] -= aAmount) == 0) {
                      unconfirmed_.erase(aBudget);
                    }
                  });
}

ledger::Tokens
GrantTransfers::Unconfirmed(const std::string& aBudget) const
{
  const auto found = unconfirmed_.find(aBudget);
  return found == unconfirmed_.end() ? 0 : found->second;
}

} // namespace cactuswick::router

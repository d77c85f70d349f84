#pragma once

#include <map>
#include <string>

#include "cactuswick/ledger/request/RouterOp.h"
#include "process/ControlClient.h"

namespace cactuswick::router {

/// Reports to control that parts of this router's grants were lent or returned.
/// Until that is committed, the ledger counts them as this router's.
class GrantTransfers
{
public:
  explicit GrantTransfers(ControlClient& aControl)
    : control_(aControl)
  {
  }

  /// Submits @p aOp, by which @p aAmount of a budget is lent or returned.
  void Submit(const std::string& aBudget,
              ledger::Tokens aAmount,
              ledger::RouterOp aOp);

  /// Returns the tokens whose operations are not known to be committed: the
  /// ledger may still count them as this router's instead of elsewhere.
  ledger::Tokens Unconfirmed(const std::string& aBudget) const;

private:
  ControlClient& control_;
  std::map<std::string, ledger::Tokens> unconfirmed_;
};

} // namespace cactuswick::router

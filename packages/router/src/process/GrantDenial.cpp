#include "process/GrantDenial.h"

namespace cactuswick::router {

namespace {

/// Returns an upper bound on the unbilled tokens of a budget. The part that the
/// ledger holds is never released.
ledger::Tokens
Unbilled(const DeniedBudget& aBudget)
{
  return aBudget.reply_.available_ + aBudget.reply_.elsewhere_ +
         aBudget.granted_ + aBudget.lentInFlight_ + aBudget.unconfirmed_;
}

} // namespace

DenialOutcome
ClassifyDenial(const DeniedBudget& aBudget, ledger::Tokens aAmount)
{
  const ledger::Tokens unbilled = Unbilled(aBudget);
  const bool nothingReserved = aBudget.granted_ == aBudget.free_;
  const bool nothingToCome = aBudget.reply_.elsewhere_ == 0 && nothingReserved;
  if ((nothingToCome || aBudget.reportsUsage_) && unbilled < aAmount) {
    return DenialOutcome::kExhausted;
  }
  if (aBudget.reportsUsage_ && unbilled - aBudget.reply_.held_ < aAmount) {
    return DenialOutcome::kHeldForGood;
  }
  return DenialOutcome::kMayBeCovered;
}

} // namespace cactuswick::router

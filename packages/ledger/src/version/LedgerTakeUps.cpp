// Ledger: tokens for streams that are taken up again.

#include <algorithm>

#include "cactuswick/ledger/version/Ledger.h"

namespace cactuswick::ledger {

namespace {

/// What is kept, as a share of what is held for dead routers, and at most as a
/// share of the budget's total. New requests lose as much.
constexpr Tokens kHeldPercent = 10;
constexpr Tokens kTotalPercent = 3;
constexpr Tokens kPercent = 100;

} // namespace

void
Ledger::HoldForDead(Account& aAccount, Tokens aAmount)
{
  aAccount.held_ += aAmount;
  // Replicas of earlier releases, which keep nothing, cannot read a log with
  // admitted versions.
  if (aAmount <= 0 || !HasSeveralVersions() || !aAccount.declared_) {
    return;
  }
  if (counters_.timeMs_ >= aAccount.keptUntilMs_) {
    aAccount.keptMost_ = 0;
  }
  // What the broken streams had reserved is part of what is held.
  aAccount.keptMost_ =
    std::min(aAccount.keptMost_ + aAmount * kHeldPercent / kPercent,
             aAccount.toppedUp_ * kTotalPercent / kPercent);
  aAccount.keptUntilMs_ = counters_.timeMs_ + kTakeUpHorizonMs;
}

Tokens
Ledger::KeptForTakeUps(const Account& aAccount) const
{
  const bool keeps =
    counters_.timeMs_ < aAccount.keptUntilMs_ && HasSeveralVersions();
  return keeps
           ? std::clamp(aAccount.Available(), Tokens{ 0 }, aAccount.keptMost_)
           : 0;
}

} // namespace cactuswick::ledger

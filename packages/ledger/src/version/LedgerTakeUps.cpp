// Ledger: tokens for streams that are taken up again.

#include <algorithm>

#include "cactuswick/ledger/version/Ledger.h"

namespace cactuswick::ledger {

namespace {

/// Share of a budget's total that is kept at most; new requests lose as much.
constexpr Tokens kKeptPercent = 1;
constexpr Tokens kPercent = 100;

} // namespace

void
Ledger::HoldForDead(Account& aAccount, Tokens aAmount)
{
  aAccount.held_ += aAmount;
  // Replicas of earlier releases, which keep nothing, cannot read a log with
  // admitted versions.
  if (aAmount <= 0 || versions_.empty() || !aAccount.declared_) {
    return;
  }
  if (counters_.timeMs_ >= aAccount.keptUntilMs_) {
    aAccount.keptMost_ = 0;
  }
  // What the broken streams had reserved is part of what is held.
  aAccount.keptMost_ = std::min(aAccount.keptMost_ + aAmount,
                                aAccount.toppedUp_ * kKeptPercent / kPercent);
  aAccount.keptUntilMs_ = counters_.timeMs_ + kTakeUpHorizonMs;
}

Tokens
Ledger::KeptForTakeUps(const Account& aAccount) const
{
  const bool keeps =
    counters_.timeMs_ < aAccount.keptUntilMs_ && !versions_.empty();
  return keeps
           ? std::clamp(aAccount.Available(), Tokens{ 0 }, aAccount.keptMost_)
           : 0;
}

} // namespace cactuswick::ledger

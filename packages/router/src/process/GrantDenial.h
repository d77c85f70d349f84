#pragma once

#include "cactuswick/ledger/request/OpResult.h"

namespace cactuswick::router {

/// What a router knows of a budget when control denies a grant of it.
struct DeniedBudget
{
  /// Reply of the ledger.
  ledger::GrantResult reply_;
  /// Tokens of this router's grant, and those of them that are not reserved.
  ledger::Tokens granted_ = 0;
  ledger::Tokens free_ = 0;
  /// Tokens lent or returned by this router that the ledger may still count as
  /// this router's.
  ledger::Tokens unconfirmed_ = 0;
  /// Maximum that lenders may have lent in replies still in flight. The ledger
  /// may count a loan as this router's before the lender's reply arrives.
  ledger::Tokens lentInFlight_ = 0;
  /// Usage is reported at intervals, so that what is reserved here or elsewhere
  /// comes back in part at most.
  bool reportsUsage_ = false;
};

/// Prospect of a reservation whose grant was denied.
enum class DenialOutcome
{
  /// Other routers may still return enough.
  kMayBeCovered,
  /// All that is unbilled does not cover it.
  kExhausted,
  /// All that is unbilled and not held by dead routers does not cover it.
  kHeldForGood,
};

/// Returns the prospect of a reservation of @p aAmount. Pure.
DenialOutcome
ClassifyDenial(const DeniedBudget& aBudget, ledger::Tokens aAmount);

} // namespace cactuswick::router

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cactuswick/ledger/request/RouterOp.h"

/// Routing, admission and budget decisions of one router, without I/O.
namespace cactuswick::routing {

using ledger::Tokens;

struct GrantTableOptions
{
  /// A grant is sized to cover the recent use of this span.
  int64_t horizonMs_ = 10'000;
  /// A grant that was unused for this long is returned.
  int64_t idleTimeoutMs_ = 15'000;
  /// After a recall or a denial, only exact amounts are requested for this
  /// long.
  int64_t exactAmountsMs_ = 3'000;
  /// Extrapolates the rate of a shorter history to the horizon.
  bool extrapolates_ = false;
  /// A refill is requested once less than this share of the horizon's use is
  /// free.
  int64_t refillPercent_ = 50;
  /// Amount to hold, as a share of the horizon's use; applies with
  /// @c extrapolates_.
  int64_t targetPercent_ = 100;
};

/// Grants of one router and their reservations, by budget.
///
/// granted >= reserved >= 0 holds for each budget, so that the reservations of
/// all requests in flight never exceed what the ledger has granted.
class GrantTable
{
public:
  explicit GrantTable(GrantTableOptions aOptions = {});

  /// Reserves the upper bound of a request's cost; returns false when less is
  /// free.
  bool Reserve(const std::string& aBudget, Tokens aAmount, int64_t aNowMs);
  /// Frees a reservation, or a part of one.
  void Release(const std::string& aBudget, Tokens aAmount);
  /// Deducts billed tokens from the grant and from its reservation.
  void Spend(const std::string& aBudget, Tokens aAmount);

  /// Adds tokens that the ledger granted or another router lent.
  void OnGranted(const std::string& aBudget, Tokens aAmount);

  /// Deducts tokens to lend to a router that is cut off from control; returns
  /// the amount. Lends @p aWant, limited to half of the free tokens, but at
  /// least @p aMinimum; 0 when fewer than @p aMinimum are free.
  Tokens Lend(const std::string& aBudget, Tokens aWant, Tokens aMinimum);

  /// Returns the tokens used per horizon recently, or the target derived from
  /// that use and the floor when @c extrapolates_ is set.
  Tokens RecentUseOf(const std::string& aBudget, int64_t aNowMs) const;

  /// Records that a grant was denied because the budget is nearly used up:
  /// requests only exact amounts for a while.
  void OnDenied(const std::string& aBudget, int64_t aNowMs);

  /// Returns the operation that requests the grant missing for a reservation of
  /// @p aMinimum and, if available, for @p aTotal, the sum of all waiting
  /// requests.
  ledger::AcquireGrant Ask(const std::string& aBudget,
                           Tokens aMinimum,
                           int64_t aNowMs,
                           Tokens aTotal = 0) const;

  /// Returns whether the free tokens run out within @p aSpanMs at the recent
  /// rate of use.
  bool RunsOutWithin(const std::string& aBudget,
                     int64_t aSpanMs,
                     int64_t aNowMs) const;

  /// Sets the minimum amount that is held of a budget, regardless of its recent
  /// use.
  void SetFloor(const std::string& aBudget, Tokens aFloor);

  /// Returns the operation that requests a grant ahead of need, when less than
  /// @c refillPercent_ of the recent use is free; nullopt otherwise. The router
  /// then has tokens to spend when it is cut off from control. @p aRequested
  /// was requested already and counts as free.
  std::optional<ledger::AcquireGrant> PlanRefill(const std::string& aBudget,
                                                 int64_t aNowMs,
                                                 Tokens aRequested = 0) const;

  /// Deducts the free tokens, except @p aKept, of a budget that other routers
  /// need and returns the operation that gives them back; nullopt when there
  /// are none. Only exact amounts are requested for a while.
  std::optional<ledger::ReturnGrant> Recall(const std::string& aBudget,
                                            int64_t aNowMs,
                                            Tokens aKept = 0);
  /// As Recall, for the budgets that were unused for @c idleTimeoutMs_; keeps
  /// their floors and doesn't limit further requests.
  std::vector<ledger::ReturnGrant> ReturnIdle(int64_t aNowMs);
  /// As ReturnIdle, for all free tokens of all budgets.
  std::vector<ledger::ReturnGrant> ReturnAll();

  /// Returns the granted tokens that aren't reserved.
  Tokens Free(const std::string& aBudget) const;
  /// Returns the granted tokens, reserved ones included.
  Tokens Granted(const std::string& aBudget) const;
  size_t Size() const { return entries_.size(); }
  /// Returns the names of all budgets in the table.
  std::vector<std::string> Budgets() const;

private:
  struct Entry
  {
    Tokens granted_ = 0;
    Tokens reserved_ = 0;
    /// Tokens reserved in the current window of one horizon.
    Tokens windowUse_ = 0;
    int64_t windowStartMs_ = 0;
    /// Tokens reserved in the window before it; 0 if that isn't adjacent.
    Tokens previousWindowUse_ = 0;
    int64_t lastUseMs_ = 0;
    /// Until then only exact amounts are requested.
    int64_t exactUntilMs_ = 0;
    Tokens floor_ = 0;
  };

  Tokens RecentUse(const Entry& aEntry, int64_t aNowMs) const;
  /// Deducts the free tokens except @p aKept; returns the operation that gives
  /// them back.
  static ledger::ReturnGrant TakeFree(const std::string& aBudget,
                                      Entry& aEntry,
                                      Tokens aKept = 0);

  GrantTableOptions options_;
  std::map<std::string, Entry> entries_;
};

} // namespace cactuswick::routing

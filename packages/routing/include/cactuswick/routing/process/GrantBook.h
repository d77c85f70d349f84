#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cactuswick/ledger/request/RouterOp.h"

/// Decisions of one router; no input or output.
namespace cactuswick::routing {

using ledger::Tokens;

struct GrantBookOptions
{
  /// A grant covers the use of this long, seen recently.
  int64_t horizonMs_ = 10'000;
  /// A grant unused for this long is returned.
  int64_t idleMs_ = 15'000;
  /// After a recall, grants are asked for in exact sizes for this long.
  int64_t recallMs_ = 3'000;
  /// Takes the rate of a short past for the rate of the horizon.
  bool extrapolates_ = false;
  /// Grants are asked for ahead once less than this share of the horizon's
  /// use is left.
  int64_t refillPercent_ = 50;
  /// Share of the horizon's use that is kept.
  int64_t marginPercent_ = 100;
};

/// What a router may spend: its grants, and what is reserved of them.
///
/// granted >= reserved >= 0 holds for each budget, so that the sum of all
/// reservations under way never passes what the ledger has granted.
class GrantBook
{
public:
  explicit GrantBook(GrantBookOptions aOptions = {});

  /// Reserves an upper bound for a request; false when it does not fit.
  bool Reserve(const std::string& aBudget, Tokens aAmount, int64_t aNowMs);
  /// Frees a reservation, or a part of one.
  void Release(const std::string& aBudget, Tokens aAmount);
  /// Takes billed tokens out of the grant and its reservation.
  void Spend(const std::string& aBudget, Tokens aAmount);

  void OnGranted(const std::string& aBudget, Tokens aAmount);

  /// Gives tokens to another router that is cut off from control: up to half
  /// of what is free, and @p aMinimum if all of it is that much. 0 for none.
  Tokens Lend(const std::string& aBudget, Tokens aWant, Tokens aMinimum);

  /// Tokens that the horizon's use came to, lately.
  Tokens RecentUseOf(const std::string& aBudget, int64_t aNowMs) const;

  /// The budget is near its end: exact sizes from now on, for a while.
  void OnDenied(const std::string& aBudget, int64_t aNowMs);

  /// The next grant to ask for, so that @p aMinimum fits, and if it can be
  /// had @p aAll, the sum of all that wait.
  ledger::AcquireGrant Ask(const std::string& aBudget,
                           Tokens aMinimum,
                           int64_t aNowMs,
                           Tokens aAll = 0) const;

  /// Whether less is free than the recent use comes to in @p aSpanMs.
  bool IsShort(const std::string& aBudget,
               int64_t aSpanMs,
               int64_t aNowMs) const;

  /// Least amount that is kept of a budget, whatever the recent use.
  void SetFloor(const std::string& aBudget, Tokens aFloor);

  /// A grant to ask for ahead of need, when less than half of the recent use
  /// is left: a router that is cut off then has something to spend.
  /// @p aComing was asked for already and counts as left.
  std::optional<ledger::AcquireGrant> Refill(const std::string& aBudget,
                                             int64_t aNowMs,
                                             Tokens aComing = 0) const;

  /// Gives up what is free of a budget that others need, beyond @p aKept.
  std::optional<ledger::ReturnGrant> Recall(const std::string& aBudget,
                                            int64_t aNowMs,
                                            Tokens aKept = 0);
  /// Gives up what is free, beyond the floors, of budgets that were not used
  /// for long.
  std::vector<ledger::ReturnGrant> CollectIdle(int64_t aNowMs);
  /// Gives up everything that is free.
  std::vector<ledger::ReturnGrant> ReturnAll();

  Tokens Free(const std::string& aBudget) const;
  Tokens Granted(const std::string& aBudget) const;
  size_t Size() const { return lines_.size(); }
  /// Names of all budgets that were used or granted.
  std::vector<std::string> Budgets() const;

private:
  struct Line
  {
    Tokens granted_ = 0;
    Tokens reserved_ = 0;
    Tokens spentInWindow_ = 0;
    int64_t windowStartMs_ = 0;
    Tokens spentBefore_ = 0;
    int64_t lastUseMs_ = 0;
    int64_t recalledUntilMs_ = 0;
    Tokens floor_ = 0;
  };

  Tokens RecentUse(const Line& aLine, int64_t aNowMs) const;
  static ledger::ReturnGrant GiveUp(const std::string& aBudget,
                                    Line& aLine,
                                    Tokens aKept = 0);

  GrantBookOptions options_;
  std::map<std::string, Line> lines_;
};

} // namespace cactuswick::routing

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "cactuswick/routing/process/GrantTable.h"

#include "cactuswick/routing/process/RetryBudget.h"
#include "cactuswick/routing/process/SettlementTable.h"

namespace cactuswick::routing {
namespace {

constexpr const char* kBudget = "w/main";

TEST(GrantTable, ReserveFailsBeyondGrantedTokens)
{
  GrantTable book;
  EXPECT_FALSE(book.Reserve(kBudget, 1, 0));
  book.OnGranted(kBudget, 100);
  EXPECT_TRUE(book.Reserve(kBudget, 60, 0));
  EXPECT_FALSE(book.Reserve(kBudget, 60, 0));
  book.Release(kBudget, 20);
  EXPECT_TRUE(book.Reserve(kBudget, 60, 0));
  EXPECT_EQ(book.Free(kBudget), 0);
}

TEST(GrantTable, AcquiresMissingTokensAndRecentUse)
{
  GrantTable book;
  book.OnGranted(kBudget, 100);
  book.Reserve(kBudget, 70, 0);
  EXPECT_EQ(book.Ask(kBudget, 50, 0).minimum_, 20);
  EXPECT_EQ(book.Ask(kBudget, 50, 0).want_, 70);
}

TEST(GrantTable, RecallReturnsOnlyFreeTokens)
{
  GrantTable book;
  book.OnGranted(kBudget, 100);
  book.Reserve(kBudget, 70, 0);
  EXPECT_EQ(book.Recall(kBudget, 0)->amount_, 30);
  EXPECT_FALSE(book.Recall(kBudget, 0));
  EXPECT_EQ(book.Granted(kBudget), 70);
  // Only exact amounts are requested for a while after a recall.
  EXPECT_EQ(book.Ask(kBudget, 50, 0).want_, 50);
}

TEST(GrantTable, RecallKeepsTokensForWaitingRequests)
{
  GrantTable book;
  book.OnGranted(kBudget, 100);
  book.Reserve(kBudget, 70, 0);
  EXPECT_EQ(book.Recall(kBudget, 0, 10)->amount_, 20);
  EXPECT_FALSE(book.Recall(kBudget, 0, 10));
}

TEST(GrantTable, RefillsAheadUnlessRecentlyDenied)
{
  GrantTable book;
  book.OnGranted(kBudget, 100);
  book.Reserve(kBudget, 30, 0);
  EXPECT_FALSE(book.PlanRefill(kBudget, 0))
    << "70 are free for a recent use of 30";
  book.Reserve(kBudget, 60, 0);
  ASSERT_TRUE(book.PlanRefill(kBudget, 0));
  EXPECT_EQ(book.PlanRefill(kBudget, 0)->want_, 90);
  EXPECT_TRUE(book.PlanRefill(kBudget, 0)->ahead_);
  book.OnDenied(kBudget, 0);
  EXPECT_FALSE(book.PlanRefill(kBudget, 1'000));
  EXPECT_TRUE(book.PlanRefill(kBudget, 4'000));
}

TEST(GrantTable, ReturnsIdleGrants)
{
  GrantTable book;
  book.OnGranted(kBudget, 100);
  book.Reserve(kBudget, 10, 1'000);
  EXPECT_TRUE(book.ReturnIdle(2'000).empty());
  ASSERT_EQ(book.ReturnIdle(60'000).size(), 1U);
  EXPECT_EQ(book.Granted(kBudget), 10);
}

TEST(GrantTable, ReturnOfIdleGrantsKeepsFloor)
{
  GrantTable book({ .extrapolates_ = true });
  book.SetFloor(kBudget, 70);
  book.OnGranted(kBudget, 100);
  ASSERT_EQ(book.ReturnIdle(60'000).size(), 1U);
  EXPECT_EQ(book.Free(kBudget), 70);
  EXPECT_TRUE(book.ReturnIdle(62'000).empty());
  // The entry and its floor remain after all tokens have been lent.
  book.Lend(kBudget, 70, 70);
  book.ReturnIdle(64'000);
  EXPECT_EQ(book.PlanRefill(kBudget, 64'000)->want_, 70);
}

TEST(GrantTable, RefillExcludesTokensAlreadyRequested)
{
  GrantTable book({ .horizonMs_ = 10'000, .extrapolates_ = true });
  book.SetFloor(kBudget, 1'000);
  book.OnGranted(kBudget, 100);
  EXPECT_EQ(book.PlanRefill(kBudget, 0)->want_, 900);
  EXPECT_EQ(book.PlanRefill(kBudget, 0, 300)->want_, 600);
  EXPECT_FALSE(book.PlanRefill(kBudget, 0, 400))
    << "half of 1,000 is not below the refill threshold";
}

TEST(GrantTable, OneAcquireCoversAllWaitingRequests)
{
  GrantTable book({ .extrapolates_ = true });
  EXPECT_EQ(book.Ask(kBudget, 50, 0, 400).want_, 400);
  book.OnGranted(kBudget, 30);
  const auto acquire = book.Ask(kBudget, 50, 0, 400);
  EXPECT_EQ(acquire.minimum_, 20);
  EXPECT_EQ(acquire.want_, 370);
  // Also after a denial, when only exact amounts are requested.
  book.OnDenied(kBudget, 0);
  EXPECT_EQ(book.Ask(kBudget, 50, 0, 400).want_, 370);
}

TEST(GrantTable, RunsOutWhenNextIntervalIsNotCovered)
{
  GrantTable book({ .horizonMs_ = 10'000, .extrapolates_ = true });
  book.OnGranted(kBudget, 1'000);
  book.Reserve(kBudget, 900, 1'000);
  book.Spend(kBudget, 900);
  // 900 were used in 9 s, so the remaining 100 last for one second.
  EXPECT_FALSE(book.RunsOutWithin(kBudget, 900, 10'000));
  EXPECT_TRUE(book.RunsOutWithin(kBudget, 1'100, 10'000));
  EXPECT_FALSE(book.RunsOutWithin("w/other", 500, 10'000));
}

RC_GTEST_PROP(GrantBookProperty, ReservationsNeverExceedGrants, ())
{
  const auto operations = *rc::gen::container<std::vector<std::pair<int, int>>>(
    rc::gen::pair(rc::gen::inRange(0, 6), rc::gen::inRange(0, 100)));
  GrantTable book;
  Tokens reserved = 0;
  for (const auto& [operation, amount] : operations) {
    switch (operation) {
      case 0:
        book.OnGranted(kBudget, amount);
        break;
      case 1:
        reserved += book.Reserve(kBudget, amount, 0) ? amount : 0;
        break;
      case 2:
        if (amount <= reserved) {
          book.Release(kBudget, amount);
          reserved -= amount;
        }
        break;
      case 3:
        if (amount <= reserved) {
          book.Spend(kBudget, amount);
          reserved -= amount;
        }
        break;
      case 4:
        book.Recall(kBudget, 0);
        break;
      default:
        book.ReturnIdle(100'000);
    }
    RC_ASSERT(book.Free(kBudget) >= 0);
    RC_ASSERT(book.Granted(kBudget) - book.Free(kBudget) == reserved);
  }
}

TEST(SettlementTable, CopiesAreLostWithTheirKeeper)
{
  SettlementTable book;
  const auto number = book.Add({ .key_ = "k" });
  EXPECT_EQ(book.Uncopied().size(), 1U);
  EXPECT_TRUE(book.OnCopied(number, 9));
  EXPECT_TRUE(book.Uncopied().empty());
  EXPECT_TRUE(book.HasRemoteCopies());
  book.OnBackupLost(9);
  EXPECT_EQ(book.Uncopied().size(), 1U);
  EXPECT_FALSE(book.HasRemoteCopies());
}

TEST(GrantTable, LendsHalfOfFreeTokensOrMinimum)
{
  GrantTable book;
  book.OnGranted(kBudget, 100);
  book.Reserve(kBudget, 20, 0);
  EXPECT_EQ(book.Lend(kBudget, 90, 10), 40);
  EXPECT_EQ(book.Free(kBudget), 40);
  EXPECT_EQ(book.Lend(kBudget, 90, 35), 35);
  EXPECT_EQ(book.Lend(kBudget, 90, 35), 0) << "only 5 are free";
  EXPECT_EQ(book.Lend("w/other", 90, 1), 0);
  EXPECT_EQ(book.Granted(kBudget), 25);
}

TEST(GrantTable, RefillsUpToExtrapolatedUse)
{
  GrantTable book({ .horizonMs_ = 10'000,
                    .extrapolates_ = true,
                    .refillPercent_ = 85,
                    .targetPercent_ = 100 });
  book.OnGranted(kBudget, 1'000);
  book.Reserve(kBudget, 500, 1'000);
  book.Spend(kBudget, 500);
  // 500 in the first 5 s extrapolate to 1,000 in 10 s; 500 of them are free.
  const auto acquire = book.PlanRefill(kBudget, 6'000);
  ASSERT_TRUE(acquire);
  EXPECT_EQ(acquire->want_, 500);
  EXPECT_TRUE(acquire->ahead_);
  book.OnGranted(kBudget, 400);
  EXPECT_FALSE(book.PlanRefill(kBudget, 6'000))
    << "900 of 1,000 are above the refill threshold";
}

TEST(GrantTable, RefillsFloorOfUnusedBudget)
{
  GrantTable book({ .extrapolates_ = true });
  book.SetFloor(kBudget, 70);
  EXPECT_EQ(book.PlanRefill(kBudget, 0)->want_, 70);
  EXPECT_EQ(book.Budgets(), (std::vector<std::string>{ kBudget }));
}

TEST(SettlementTable, DropsCopiesUpToSettledNumber)
{
  SettlementTable book;
  book.StoreCopies(5, { { .number_ = 1 }, { .number_ = 2 }, { .number_ = 3 } });
  book.DropCopiesThrough(5, 2);
  ASSERT_EQ(book.CopiesFor(5).size(), 1U);
  EXPECT_EQ(book.CopiesFor(5)[0].number_, 3);
  EXPECT_TRUE(book.CopiesFor(6).empty());
}

TEST(SettlementTable, CommittedThroughStopsBeforeFirstGap)
{
  SettlementTable book;
  book.Add({});
  book.Add({});
  book.Add({});
  book.OnCommitted(2);
  EXPECT_EQ(book.CommittedThrough(), 0);
  book.OnCommitted(1);
  EXPECT_EQ(book.CommittedThrough(), 2);
}

TEST(RetryBudget, LimitsRetriesToShareOfRequests)
{
  RetryBudget budget({ .ratio_ = 0.1, .capacity_ = 2 });
  int retries = 0;
  for (int i = 0; i < 1'000; ++i) {
    budget.OnRequest();
    retries += budget.TryTake() ? 1 : 0;
  }
  EXPECT_LE(retries, 102);
  EXPECT_GE(retries, 95);
}

} // namespace
} // namespace cactuswick::routing

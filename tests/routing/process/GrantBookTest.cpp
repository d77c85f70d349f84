#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "cactuswick/routing/process/GrantBook.h"

#include "cactuswick/routing/process/RetryBudget.h"
#include "cactuswick/routing/process/SettlementBook.h"

namespace cactuswick::routing {
namespace {

constexpr const char* kBudget = "w/main";

TEST(GrantBook, ReservesOnlyWhatWasGranted)
{
  GrantBook book;
  EXPECT_FALSE(book.Reserve(kBudget, 1, 0));
  book.OnGranted(kBudget, 100);
  EXPECT_TRUE(book.Reserve(kBudget, 60, 0));
  EXPECT_FALSE(book.Reserve(kBudget, 60, 0));
  book.Release(kBudget, 20);
  EXPECT_TRUE(book.Reserve(kBudget, 60, 0));
  EXPECT_EQ(book.Free(kBudget), 0);
}

TEST(GrantBook, AsksForWhatIsMissing)
{
  GrantBook book;
  book.OnGranted(kBudget, 100);
  book.Reserve(kBudget, 70, 0);
  EXPECT_EQ(book.Ask(kBudget, 50, 0).minimum_, 20);
  EXPECT_EQ(book.Ask(kBudget, 50, 0).want_, 70);
}

TEST(GrantBook, ARecallKeepsWhatIsReserved)
{
  GrantBook book;
  book.OnGranted(kBudget, 100);
  book.Reserve(kBudget, 70, 0);
  EXPECT_EQ(book.Recall(kBudget, 0)->amount_, 30);
  EXPECT_FALSE(book.Recall(kBudget, 0));
  EXPECT_EQ(book.Granted(kBudget), 70);
  // Exact sizes from now on, for a while.
  EXPECT_EQ(book.Ask(kBudget, 50, 0).want_, 50);
}

TEST(GrantBook, ARecallKeepsWhatRequestsWaitFor)
{
  GrantBook book;
  book.OnGranted(kBudget, 100);
  book.Reserve(kBudget, 70, 0);
  EXPECT_EQ(book.Recall(kBudget, 0, 10)->amount_, 20);
  EXPECT_FALSE(book.Recall(kBudget, 0, 10));
}

TEST(GrantBook, AsksAheadOfNeedUnlessTheBudgetIsNearItsEnd)
{
  GrantBook book;
  book.OnGranted(kBudget, 100);
  book.Reserve(kBudget, 30, 0);
  EXPECT_FALSE(book.Refill(kBudget, 0)) << "70 are left for a use of 30";
  book.Reserve(kBudget, 60, 0);
  ASSERT_TRUE(book.Refill(kBudget, 0));
  EXPECT_EQ(book.Refill(kBudget, 0)->want_, 90);
  EXPECT_TRUE(book.Refill(kBudget, 0)->prefetch_);
  book.OnDenied(kBudget, 0);
  EXPECT_FALSE(book.Refill(kBudget, 1'000));
  EXPECT_TRUE(book.Refill(kBudget, 4'000));
}

TEST(GrantBook, ReturnsIdleGrants)
{
  GrantBook book;
  book.OnGranted(kBudget, 100);
  book.Reserve(kBudget, 10, 1'000);
  EXPECT_TRUE(book.CollectIdle(2'000).empty());
  ASSERT_EQ(book.CollectIdle(60'000).size(), 1U);
  EXPECT_EQ(book.Granted(kBudget), 10);
}

TEST(GrantBook, AFloorThatIsNotUsedYetIsNotReturnedAsIdle)
{
  GrantBook book({ .extrapolates_ = true });
  book.SetFloor(kBudget, 70);
  book.OnGranted(kBudget, 100);
  ASSERT_EQ(book.CollectIdle(60'000).size(), 1U);
  EXPECT_EQ(book.Free(kBudget), 70);
  EXPECT_TRUE(book.CollectIdle(62'000).empty());
  // Still known, with its floor, after all of it has been lent.
  book.Lend(kBudget, 70, 70);
  book.CollectIdle(64'000);
  EXPECT_EQ(book.Refill(kBudget, 64'000)->want_, 70);
}

TEST(GrantBook, WhatWasAskedForAlreadyIsNotAskedForAgain)
{
  GrantBook book({ .horizonMs_ = 10'000, .extrapolates_ = true });
  book.SetFloor(kBudget, 1'000);
  book.OnGranted(kBudget, 100);
  EXPECT_EQ(book.Refill(kBudget, 0)->want_, 900);
  EXPECT_EQ(book.Refill(kBudget, 0, 300)->want_, 600);
  EXPECT_FALSE(book.Refill(kBudget, 0, 400)) << "half of 1,000 is enough";
}

TEST(GrantBook, OneAskCoversAllRequestsThatWait)
{
  GrantBook book({ .extrapolates_ = true });
  EXPECT_EQ(book.Ask(kBudget, 50, 0, 400).want_, 400);
  book.OnGranted(kBudget, 30);
  const auto ask = book.Ask(kBudget, 50, 0, 400);
  EXPECT_EQ(ask.minimum_, 20);
  EXPECT_EQ(ask.want_, 370);
  // Also when nothing more may be held ahead.
  book.OnDenied(kBudget, 0);
  EXPECT_EQ(book.Ask(kBudget, 50, 0, 400).want_, 370);
}

TEST(GrantBook, IsShortWhenTheNextIntervalIsNotCovered)
{
  GrantBook book({ .horizonMs_ = 10'000, .extrapolates_ = true });
  book.OnGranted(kBudget, 1'000);
  book.Reserve(kBudget, 900, 1'000);
  book.Spend(kBudget, 900);
  // 900 in 9 s: 100 are left, for one second.
  EXPECT_FALSE(book.IsShort(kBudget, 900, 10'000));
  EXPECT_TRUE(book.IsShort(kBudget, 1'100, 10'000));
  EXPECT_FALSE(book.IsShort("w/other", 500, 10'000));
}

RC_GTEST_PROP(GrantBookProperty, ReservationsNeverPassGrants, ())
{
  const auto moves = *rc::gen::container<std::vector<std::pair<int, int>>>(
    rc::gen::pair(rc::gen::inRange(0, 6), rc::gen::inRange(0, 100)));
  GrantBook book;
  Tokens reserved = 0;
  for (const auto& [move, amount] : moves) {
    switch (move) {
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
        book.CollectIdle(100'000);
    }
    RC_ASSERT(book.Free(kBudget) >= 0);
    RC_ASSERT(book.Granted(kBudget) - book.Free(kBudget) == reserved);
  }
}

TEST(SettlementBook, CopiesAreGoneWithTheirKeeper)
{
  SettlementBook book;
  const auto number = book.Add({ .key_ = "k" });
  EXPECT_EQ(book.Uncopied().size(), 1U);
  EXPECT_TRUE(book.Copied(number, 9));
  EXPECT_TRUE(book.Uncopied().empty());
  EXPECT_TRUE(book.HasCopiesOut());
  book.KeeperLost(9);
  EXPECT_EQ(book.Uncopied().size(), 1U);
  EXPECT_FALSE(book.HasCopiesOut());
}

TEST(GrantBook, LendsHalfOfWhatIsFreeOrTheMinimum)
{
  GrantBook book;
  book.OnGranted(kBudget, 100);
  book.Reserve(kBudget, 20, 0);
  EXPECT_EQ(book.Lend(kBudget, 90, 10), 40);
  EXPECT_EQ(book.Free(kBudget), 40);
  EXPECT_EQ(book.Lend(kBudget, 90, 35), 35);
  EXPECT_EQ(book.Lend(kBudget, 90, 35), 0) << "only 5 are left";
  EXPECT_EQ(book.Lend("w/other", 90, 1), 0);
  EXPECT_EQ(book.Granted(kBudget), 25);
}

TEST(GrantBook, AsksForWhatIsMissingOfTheHorizon)
{
  GrantBook book({ .horizonMs_ = 10'000,
                   .extrapolates_ = true,
                   .refillPercent_ = 85,
                   .marginPercent_ = 100 });
  book.OnGranted(kBudget, 1'000);
  book.Reserve(kBudget, 500, 1'000);
  book.Spend(kBudget, 500);
  // 500 in the first 5 s come to 1,000 in 10 s; 500 are left of them.
  const auto ask = book.Refill(kBudget, 6'000);
  ASSERT_TRUE(ask);
  EXPECT_EQ(ask->want_, 500);
  EXPECT_TRUE(ask->prefetch_);
  book.OnGranted(kBudget, 400);
  EXPECT_FALSE(book.Refill(kBudget, 6'000)) << "900 of 1,000 are enough";
}

TEST(GrantBook, KeepsAFloorOfBudgetsThatAreNotUsedYet)
{
  GrantBook book({ .extrapolates_ = true });
  book.SetFloor(kBudget, 70);
  EXPECT_EQ(book.Refill(kBudget, 0)->want_, 70);
  EXPECT_EQ(book.Budgets(), (std::vector<std::string>{ kBudget }));
}

TEST(SettlementBook, DropsCopiesThatTheirHolderHandedIn)
{
  SettlementBook book;
  book.Keep(5, { { .number_ = 1 }, { .number_ = 2 }, { .number_ = 3 } });
  book.Drop(5, 2);
  ASSERT_EQ(book.KeptFor(5).size(), 1U);
  EXPECT_EQ(book.KeptFor(5)[0].number_, 3);
  EXPECT_TRUE(book.KeptFor(6).empty());
}

TEST(SettlementBook, CountsWhatIsCommittedWithoutGaps)
{
  SettlementBook book;
  book.Add({});
  book.Add({});
  book.Add({});
  book.Committed(2);
  EXPECT_EQ(book.CommittedThrough(), 0);
  book.Committed(1);
  EXPECT_EQ(book.CommittedThrough(), 2);
}

TEST(RetryBudget, AllowsAShareOfRequests)
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

#include <gtest/gtest.h>

#include "cactuswick/ledger/version/Ledger.h"

namespace cactuswick::ledger {
namespace {

constexpr const char* kBudget = "w/prepaid";
constexpr Tokens kTotal = 30'000;
constexpr Tokens kKept = 400;

/// A ledger with a declared budget and a router that reports its usage late.
class LedgerTakeUpsTest : public testing::Test
{
protected:
  void SetUp() override
  {
    Run(ReplaceDeployment{ .version_ = 1,
                           .document_ = { "document" },
                           .budgets_ = { { "w", kTotal } } });
    Register();
  }

  void TearDown() override
  {
    EXPECT_TRUE(ledger_.CheckInvariants().ok())
      << ledger_.CheckInvariants().ToString();
  }

  Reply Run(const Command& aCommand) { return ledger_.Apply(aCommand, time_); }

  void AdmitTwo()
  {
    Run(AdmitVersion{ "s", "1" });
    Run(AdmitVersion{ "s", "2" });
  }

  /// Starts the router again; what it was granted before is held.
  void Register()
  {
    const auto reply =
      Run(RegisterRouter{ .nonce_ = "nonce-of-" + std::to_string(++nonce_),
                          .vm_ = "vm",
                          .reportsLate_ = true });
    router_ = std::get<Registered>(reply).incarnation_;
  }

  GrantResult Ask(Tokens aMinimum, bool aTakesUp = false, Tokens aWant = 0)
  {
    const auto reply =
      Run(RouterBatch{ router_,
                       ++sequence_,
                       { AcquireGrant{ .budget_ = kBudget,
                                       .want_ = aWant,
                                       .minimum_ = aMinimum,
                                       .takesUp_ = aTakesUp } } });
    return std::get<GrantResult>(std::get<BatchReply>(reply).results_.at(0));
  }

  Tokens Kept()
  {
    return ledger_.KeptForTakeUps(*ledger_.FindAccount(kBudget));
  }

  Ledger ledger_;
  LogTimeMs time_ = 0;
  int64_t sequence_ = 0;
  int nonce_ = 0;
  Incarnation router_ = 0;
};

TEST_F(LedgerTakeUpsTest, LastTokensAfterDeathAreKeptForStreamsTakenUp)
{
  AdmitTwo();
  Ask(4'000);
  Register();
  EXPECT_EQ(Kept(), kKept);
  EXPECT_EQ(Ask(25'600).granted_, 25'600);
  const GrantResult denied = Ask(1);
  EXPECT_EQ(denied.granted_, 0);
  EXPECT_EQ(denied.available_, 0);
  EXPECT_EQ(denied.held_, 4'000 + kKept);
  EXPECT_EQ(Ask(100, true, kTotal).granted_, 100);
  EXPECT_EQ(Ask(kKept - 99, true).granted_, 0);
  EXPECT_EQ(Ask(kKept - 100, true).granted_, kKept - 100);
}

TEST_F(LedgerTakeUpsTest, DenialOfTakeUpCountsWhatIsKeptAsAvailable)
{
  AdmitTwo();
  Ask(4'000);
  Register();
  Ask(25'600);
  const GrantResult denied = Ask(kKept + 1, true);
  EXPECT_EQ(denied.granted_, 0);
  EXPECT_EQ(denied.available_, kKept);
  EXPECT_EQ(denied.held_, 4'000);
}

TEST_F(LedgerTakeUpsTest, PartOfWhatRoutersDiedWithIsKept)
{
  AdmitTwo();
  EXPECT_EQ(Kept(), 0);
  Ask(500);
  Register();
  EXPECT_EQ(Kept(), 50);
  Ask(1'000);
  Register();
  EXPECT_EQ(Kept(), 150);
  time_ = kTakeUpHorizonMs;
  Ask(700);
  Register();
  EXPECT_EQ(Kept(), 70);
  Ask(20'000);
  Register();
  EXPECT_EQ(Kept(), 900);
}

TEST_F(LedgerTakeUpsTest, NothingIsKeptForLong)
{
  AdmitTwo();
  Ask(4'000);
  Register();
  EXPECT_EQ(Kept(), kKept);
  time_ = kTakeUpHorizonMs;
  EXPECT_EQ(Ask(26'000).granted_, 26'000);
}

TEST_F(LedgerTakeUpsTest, NothingIsKeptWithoutSeveralVersions)
{
  Run(AdmitVersion{ "s", "1" });
  Run(AdmitVersion{ "t", "2" });
  Ask(4'000);
  Register();
  Run(AdmitVersion{ "s", "2" });
  EXPECT_EQ(Kept(), 0);
  Ask(1'000);
  Register();
  EXPECT_EQ(Kept(), 100);
  Run(WithdrawVersion{ "s", "1" });
  EXPECT_EQ(Ask(25'000).granted_, 25'000);
}

TEST_F(LedgerTakeUpsTest, WhatIsKeptOutlivesReplicasInSnapshots)
{
  AdmitTwo();
  Ask(4'000);
  Register();
  Ledger loaded;
  ledger_.Save([&](const SnapshotRecord& aRecord) { loaded.Load(aRecord); });
  EXPECT_EQ(loaded.KeptForTakeUps(*loaded.FindAccount(kBudget)), kKept);
}

} // namespace
} // namespace cactuswick::ledger

#include <gtest/gtest.h>

#include "cactuswick/ledger/version/Ledger.h"

namespace cactuswick::ledger {
namespace {

constexpr const char* kBudget = "w/main";

/// A ledger with a workspace, a budget of 1,000 tokens and two routers.
class LedgerTest : public testing::Test
{
protected:
  void SetUp() override
  {
    Run(ApplyResource{ "q1", 0, model::Workspace{ .name_ = "w" } });
    Run(ApplyResource{ "q2", 0, model::Budget{ .name_ = kBudget } });
    Run(TopUp{ "t1", kBudget, 1'000 });
    first_ = Register("vm1", "nonce-one");
    second_ = Register("vm2", "nonce-two");
  }

  void TearDown() override
  {
    EXPECT_TRUE(ledger_.CheckInvariants().ok())
      << ledger_.CheckInvariants().ToString();
  }

  Reply Run(const Command& aCommand) { return ledger_.Apply(aCommand, time_); }

  Incarnation Register(const std::string& aVm, const std::string& aNonce)
  {
    const auto reply = Run(RegisterRouter{ .nonce_ = aNonce, .vm_ = aVm });
    return std::get<Registered>(reply).incarnation_;
  }

  OpResult Op(Incarnation aRouter, const RouterOp& aOp)
  {
    const auto reply = Run(RouterBatch{ aRouter, ++sequence_, { aOp } });
    return std::get<BatchReply>(reply).results_.at(0);
  }

  Tokens Grant(Incarnation aRouter, Tokens aMinimum, Tokens aWant = 0)
  {
    return std::get<GrantResult>(
             Op(aRouter, AcquireGrant{ kBudget, aWant, aMinimum }))
      .granted_;
  }

  SettleResult SettleOne(Incarnation aRouter,
                         Incarnation aHolder,
                         int64_t aNumber,
                         const std::string& aKey,
                         Tokens aAmount)
  {
    return std::get<SettleResult>(Op(aRouter,
                                     Settle{ .holder_ = aHolder,
                                             .number_ = aNumber,
                                             .budget_ = kBudget,
                                             .key_ = aKey,
                                             .amount_ = aAmount,
                                             .startedMs_ = time_ }));
  }

  const Account& Budget() { return *ledger_.FindAccount(kBudget); }

  static model::ErrorKind KindOf(const Reply& aReply)
  {
    return std::get<Rejected>(aReply).kind_;
  }

  Ledger ledger_;
  LogTimeMs time_ = 0;
  int64_t sequence_ = 0;
  Incarnation first_ = 0;
  Incarnation second_ = 0;
};

TEST_F(LedgerTest, GrantsNeverExceedAvailableTokens)
{
  EXPECT_EQ(Grant(first_, 600), 600);
  EXPECT_EQ(Grant(second_, 600), 0);
  EXPECT_EQ(Grant(second_, 400), 400);
  EXPECT_EQ(Grant(second_, 1), 0);
  EXPECT_EQ(Budget().Available(), 0);
}

TEST_F(LedgerTest, GrantBeyondMinimumIsLimitedToAQuarter)
{
  EXPECT_EQ(Grant(first_, 10, 1'000'000), 250);
}

TEST_F(LedgerTest, TopUpIsIdempotentPerId)
{
  Run(TopUp{ "t1", kBudget, 1'000 });
  EXPECT_EQ(Budget().toppedUp_, 1'000);
  EXPECT_EQ(KindOf(Run(TopUp{ "t1", kBudget, 2'000 })),
            model::ErrorKind::kKeyReused);
}

TEST_F(LedgerTest, TopUpOutOfRangeIsRejected)
{
  EXPECT_EQ(KindOf(Run(TopUp{ "t2", kBudget, -1 })),
            model::ErrorKind::kOutOfRange);
  EXPECT_EQ(KindOf(Run(TopUp{ "t3", kBudget, model::kMaxTokens })),
            model::ErrorKind::kOutOfRange);
  EXPECT_EQ(KindOf(Run(TopUp{ "t4", "w/other", 1 })),
            model::ErrorKind::kUnknownResource);
  EXPECT_EQ(Budget().toppedUp_, 1'000);
}

TEST_F(LedgerTest, KeySettledByTwoRoutersIsBilledOnce)
{
  Grant(first_, 100);
  Grant(second_, 100);
  EXPECT_EQ(SettleOne(first_, first_, 1, "k", 40).state_, SettleState::kBilled);
  const auto again = SettleOne(second_, second_, 1, "k", 40);
  EXPECT_EQ(again.state_, SettleState::kDuplicate);
  EXPECT_EQ(again.charged_, 0);
  // Another router's resend of the same settlement has no effect.
  EXPECT_EQ(SettleOne(second_, first_, 1, "k", 40).charged_, 40);
  EXPECT_EQ(Budget().billed_, 40);
}

TEST_F(LedgerTest, KeyIsBilledAtLargestAmountInAnyOrder)
{
  Grant(first_, 100);
  Grant(second_, 100);
  SettleOne(first_, first_, 1, "k", 5);
  EXPECT_EQ(SettleOne(second_, second_, 1, "k", 60).charged_, 55);
  EXPECT_EQ(SettleOne(first_, first_, 2, "k", 30).charged_, 0);
  EXPECT_EQ(Budget().billed_, 60);
}

TEST_F(LedgerTest, ResentBatchReturnsStoredReply)
{
  const RouterBatch batch{ first_,
                           ++sequence_,
                           { AcquireGrant{ kBudget, 10, 10 } } };
  const auto one = Run(batch);
  EXPECT_EQ(Run(batch), one);
  EXPECT_EQ(Budget().granted_, 10);
}

TEST_F(LedgerTest, BatchOfEndedRouterIsRejected)
{
  Grant(first_, 100);
  Register("vm1", "nonce-new");
  EXPECT_EQ(KindOf(Run(RouterBatch{ first_, 99, {} })),
            model::ErrorKind::kForbidden);
}

TEST_F(LedgerTest, DeadRouterGrantIsFreedAfterCopiesAreSettled)
{
  Grant(first_, 100);
  Register("vm1", "nonce-new");
  EXPECT_EQ(Budget().granted_, 100);
  // The other router still holds a copy of one settlement.
  EXPECT_EQ(SettleOne(second_, first_, 7, "k", 30).state_,
            SettleState::kBilled);
  Op(second_, ConfirmNoCopies{ first_ });
  EXPECT_EQ(Budget().granted_, 0);
  EXPECT_EQ(Budget().billed_, 30);
  EXPECT_EQ(Budget().Available(), 970);
}

TEST_F(LedgerTest, DeadRouterGrantIsHeldIfCopiesMayBeLost)
{
  Grant(first_, 100);
  Register("vm1", "nonce-new-1");
  Register("vm2", "nonce-new-2");
  EXPECT_EQ(Budget().held_, 100);
  EXPECT_EQ(Budget().Available(), 900);
  Run(ReleaseHeld{ "q9", kBudget, 100 });
  EXPECT_EQ(Budget().Available(), 1'000);
}

TEST_F(LedgerTest, GrantIsHeldIfBackupDiedBeforeHolder)
{
  // The second router may have held copies for the first, which is cut off.
  Grant(first_, 100);
  Register("vm2", "nonce-new-2");
  const auto third = Register("vm3", "nonce-three");
  Register("vm1", "nonce-new-1");
  for (const Incarnation router : { third, Incarnation{ 3 } }) {
    Op(router, ConfirmNoCopies{ first_ });
  }
  EXPECT_EQ(Budget().held_, 100);
}

TEST_F(LedgerTest, HeartbeatAfterBackupDeathClearsLostCopies)
{
  Grant(first_, 100);
  const auto fresh = Register("vm2", "nonce-new-2");
  Op(first_, Heartbeat{ ledger_.Revision(), 0, false });
  Register("vm1", "nonce-new-1");
  Op(fresh, ConfirmNoCopies{ first_ });
  EXPECT_EQ(Budget().held_, 0);
  EXPECT_EQ(Budget().Available(), 1'000);
}

TEST_F(LedgerTest, HeartbeatFromBeforeBackupDeathKeepsLostCopies)
{
  Grant(first_, 100);
  const int64_t before = ledger_.Revision();
  const auto fresh = Register("vm2", "nonce-new-2");
  Op(first_, Heartbeat{ before, 0, false });
  Register("vm1", "nonce-new-1");
  Op(fresh, ConfirmNoCopies{ first_ });
  EXPECT_EQ(Budget().held_, 100);
}

TEST_F(LedgerTest, SettlementOlderThanEvictedKeysIsHeld)
{
  Grant(first_, 100);
  SettleOne(second_, second_, 1, "other", 0);
  time_ += 3 * kSettlementHorizonMs;
  for (const Incarnation router : { first_, second_ }) {
    Op(router, Heartbeat{ 0, time_, false });
  }
  EXPECT_EQ(ledger_.SettledKeyCount(), 0U);
  const auto late = Op(first_,
                       Settle{ .holder_ = first_,
                               .number_ = 1,
                               .budget_ = kBudget,
                               .key_ = "k",
                               .amount_ = 40,
                               .startedMs_ = 0 });
  EXPECT_EQ(std::get<SettleResult>(late).state_, SettleState::kHeld);
  EXPECT_EQ(Budget().billed_, 0);
  EXPECT_EQ(Budget().held_, 40);
}

TEST_F(LedgerTest, KeysAreKeptUntilAllRoutersReport)
{
  SettleOne(second_, second_, 1, "k", 0);
  time_ += 3 * kSettlementHorizonMs;
  Op(second_, Heartbeat{ 0, time_, false });
  EXPECT_EQ(ledger_.SettledKeyCount(), 1U);
}

TEST_F(LedgerTest, ClaimIsGrantedOnceAndReturnsOutcome)
{
  const Claim claim{ "w", "k", 5 };
  EXPECT_TRUE(std::get<ClaimResult>(Op(first_, claim)).granted_);
  const auto running = std::get<ClaimResult>(Op(second_, claim));
  EXPECT_FALSE(running.granted_);
  EXPECT_EQ(running.state_, ClaimState::kRunning);
  Op(first_, ResolveClaim{ "w", "k", ClaimState::kDone, 200, "body" });
  const auto done = std::get<ClaimResult>(Op(second_, claim));
  EXPECT_EQ(done.state_, ClaimState::kDone);
  EXPECT_EQ(done.body_, "body");
  EXPECT_TRUE(
    std::get<ClaimResult>(Op(second_, Claim{ "w", "k", 6 })).keyReused_);
}

TEST_F(LedgerTest, ClaimOfDeadRouterBecomesUnknown)
{
  const Claim claim{ "w", "k", 5 };
  Op(first_, claim);
  Register("vm1", "nonce-new");
  EXPECT_EQ(std::get<ClaimResult>(Op(second_, claim)).state_,
            ClaimState::kUnknown);
}

TEST_F(LedgerTest, ClaimThatDidNotRunCanBeReclaimed)
{
  const Claim claim{ "w", "k", 5 };
  Op(first_, claim);
  Op(first_, ResolveClaim{ "w", "k", ClaimState::kNotRun });
  EXPECT_TRUE(std::get<ClaimResult>(Op(second_, claim)).granted_);
}

TEST_F(LedgerTest, OrderLeaseIsExclusiveAndFenced)
{
  const auto begin = [&](Incarnation aRouter, int64_t aFence) {
    return std::get<OrderResult>(Op(aRouter, BeginOrder{ "e", aFence }));
  };
  EXPECT_TRUE(begin(first_, 5).granted_);
  EXPECT_TRUE(begin(second_, 5).obsolete_);
  // The first router may still be issuing its order.
  EXPECT_EQ(begin(second_, 6), OrderResult{});
  Op(first_, EndOrder{ "e", 5, OrderState::kDone });
  EXPECT_TRUE(begin(second_, 6).granted_);
  EXPECT_TRUE(begin(first_, 5).obsolete_);
  // A router that died with the lease delays the next order only until the
  // lease expires.
  time_ += kOrderLeaseMs - 1;
  EXPECT_FALSE(begin(first_, 7).granted_);
  time_ += 1;
  EXPECT_TRUE(begin(first_, 7).granted_);
  // The late end of a superseded order has no effect.
  Op(second_, EndOrder{ "e", 6, OrderState::kDone });
  EXPECT_EQ(ledger_.Orders().at("e").state_, OrderState::kRunning);
}

TEST_F(LedgerTest, ConcurrentApplyIsVersionConflict)
{
  const model::Rank urgent{ .name_ = "urgent" };
  const model::Rank other{ .name_ = "urgent", .priority_ = 3 };
  const auto won = Run(ApplyResource{ "a", 0, urgent });
  EXPECT_EQ(std::get<Accepted>(won).version_, 1);
  EXPECT_EQ(KindOf(Run(ApplyResource{ "b", 0, other })),
            model::ErrorKind::kVersionConflict);
  // A resend gets the first reply, even after later changes.
  Run(ApplyResource{ "c", 1, other });
  EXPECT_EQ(Run(ApplyResource{ "a", 0, urgent }), won);
}

TEST_F(LedgerTest, RecreatedResourceContinuesVersions)
{
  const model::Rank urgent{ .name_ = "urgent" };
  Run(ApplyResource{ "a", 0, urgent });
  Run(DeleteResource{ "b", 1, "rank/urgent" });
  const auto again = Run(ApplyResource{ "c", 0, urgent });
  EXPECT_EQ(std::get<Accepted>(again).version_, 3);
}

TEST_F(LedgerTest, DeleteOfResourceInUseIsForbidden)
{
  EXPECT_EQ(KindOf(Run(DeleteResource{ "a", 1, "workspace/w" })),
            model::ErrorKind::kForbidden);
  EXPECT_EQ(KindOf(Run(DeleteResource{ "b", 1, "budget/w/main" })),
            model::ErrorKind::kForbidden);
  EXPECT_EQ(
    KindOf(Run(ApplyResource{ "c", 0, model::Budget{ .name_ = "x/main" } })),
    model::ErrorKind::kUnknownResource);
}

TEST_F(LedgerTest, DeltaContainsOnlyNewerResources)
{
  const int64_t before = ledger_.Revision();
  Run(ApplyResource{ "a", 0, model::Rank{ .name_ = "urgent" } });
  const auto delta = ledger_.ConfigSince(before);
  ASSERT_EQ(delta.resources_.size(), 1U);
  EXPECT_FALSE(delta.routersChanged_);
  EXPECT_TRUE(ledger_.ConfigSince(ledger_.Revision()).resources_.empty());
}

TEST_F(LedgerTest, DeltaContainsOnlyChangedRouters)
{
  const int64_t before = ledger_.Revision();
  const auto third = Register("vm3", "nonce-three");
  const auto started = ledger_.ConfigSince(before);
  EXPECT_TRUE(started.routersChanged_);
  ASSERT_EQ(started.routers_.size(), 1U);
  EXPECT_EQ(started.routers_[0].incarnation_, third);
  EXPECT_FALSE(started.knownRouters_.has_value());
  const int64_t later = ledger_.Revision();
  Op(first_, SetDraining{});
  const auto draining = ledger_.ConfigSince(later);
  ASSERT_EQ(draining.routers_.size(), 1U);
  EXPECT_EQ(draining.routers_[0].state_, RouterState::kDraining);
}

TEST_F(LedgerTest, DeltaListsKnownRoutersAfterRemoval)
{
  const int64_t before = ledger_.Revision();
  Op(first_, DeregisterRouter{});
  const auto delta = ledger_.ConfigSince(before);
  EXPECT_TRUE(delta.routersChanged_);
  EXPECT_TRUE(delta.routers_.empty());
  EXPECT_EQ(delta.knownRouters_, std::vector<Incarnation>{ second_ });
  EXPECT_FALSE(
    ledger_.ConfigSince(ledger_.Revision()).knownRouters_.has_value());
}

TEST_F(LedgerTest, SnapshotPreservesDeltas)
{
  const int64_t before = ledger_.Revision();
  Register("vm3", "nonce-three");
  Op(first_, DeregisterRouter{});
  Ledger copy;
  ledger_.Save([&](const SnapshotRecord& aRecord) { copy.Load(aRecord); });
  EXPECT_EQ(copy.ConfigSince(before), ledger_.ConfigSince(before));
  EXPECT_EQ(copy.ConfigSince(0), ledger_.ConfigSince(0));
}

TEST_F(LedgerTest, SnapshotWithoutRevisionsSendsAllRouters)
{
  Ledger copy;
  ledger_.Save([&](SnapshotRecord aRecord) {
    if (auto* router = std::get_if<RouterRecord>(&aRecord)) {
      router->revision_ = 0;
    }
    copy.Load(aRecord);
  });
  const auto delta = copy.ConfigSince(ledger_.Revision() - 1);
  EXPECT_EQ(delta.routers_.size(), 2U);
  EXPECT_EQ(delta.knownRouters_, (std::vector{ first_, second_ }));
}

TEST_F(LedgerTest, DeregisteredRouterGrantIsFreed)
{
  Grant(first_, 100);
  Op(first_, DeregisterRouter{});
  EXPECT_EQ(Budget().Available(), 1'000);
  EXPECT_FALSE(ledger_.Routers().contains(first_));
}

} // namespace
} // namespace cactuswick::ledger

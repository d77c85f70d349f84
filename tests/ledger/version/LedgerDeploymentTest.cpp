#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "cactuswick/ledger/version/Ledger.h"

#include <map>

namespace cactuswick::ledger {
namespace {

constexpr const char* kBudget = "w/prepaid";
constexpr Tokens kTotal = 100'000;

/// A ledger with one declared budget and routers that report usage late.
class LateReportingRouters
{
public:
  LateReportingRouters() { Declare(1, kTotal); }

  Reply Run(const Command& aCommand)
  {
    return ledger_.Apply(aCommand, ++time_);
  }

  Reply Declare(int64_t aVersion, Tokens aTokens)
  {
    return Run(ReplaceDeployment{
      .version_ = aVersion,
      .document_ = { "document " + std::to_string(aVersion) },
      .budgets_ = { { "w", aTokens } } });
  }

  Incarnation Register(const std::string& aVm)
  {
    const auto reply = Run(
      RegisterRouter{ .nonce_ = "nonce-of-" + aVm + std::to_string(++nonces_),
                      .vm_ = aVm,
                      .reportsLate_ = true });
    return std::get<Registered>(reply).incarnation_;
  }

  OpResult Op(Incarnation aRouter, const RouterOp& aOp)
  {
    const auto reply = Run(RouterBatch{ aRouter, ++sequence_, { aOp } });
    return std::get<BatchReply>(reply).results_.at(0);
  }

  Tokens Grant(Incarnation aRouter,
               Tokens aWant,
               bool aPrefetch = false,
               bool aTakesUp = false)
  {
    return std::get<GrantResult>(
             Op(aRouter,
                AcquireGrant{
                  kBudget, aWant, aPrefetch ? 1 : aWant, aPrefetch, aTakesUp }))
      .granted_;
  }

  const Account& Budget() const { return *ledger_.FindAccount(kBudget); }
  const Ledger& State() const { return ledger_; }

private:
  Ledger ledger_;
  LogTimeMs time_ = 0;
  int64_t nonces_ = 100'000;
  int64_t sequence_ = 0;
};

TEST(LedgerDeployment, HighestVersionIsActiveAndOlderOnesAreAccepted)
{
  LateReportingRouters run;
  run.Declare(7, kTotal);
  EXPECT_TRUE(std::holds_alternative<Accepted>(run.Declare(3, 5)));
  EXPECT_EQ(run.State().Deployment().version_, 7);
  EXPECT_EQ(run.State().Deployment().document_.bytes_, "document 7");
  // Different content under the active version has no effect either.
  EXPECT_TRUE(std::holds_alternative<Accepted>(run.Declare(7, 5)));
  EXPECT_EQ(run.Budget().toppedUp_, kTotal);
}

TEST(LedgerDeployment, DeltaContainsOnlyChanges)
{
  LateReportingRouters run;
  const int64_t revision = run.State().Revision();
  EXPECT_FALSE(run.State().ConfigSince(revision).deployment_);
  run.Declare(2, kTotal);
  run.Run(RetireEndpoint{ "e", 9 });
  const auto delta = run.State().ConfigSince(revision);
  EXPECT_EQ(delta.deployment_->version_, 2);
  EXPECT_EQ(delta.retired_.at(0).incarnation_, 9);
}

TEST(LedgerDeployment, OlderIncarnationDoesNotReplaceRetiredOne)
{
  LateReportingRouters run;
  run.Run(RetireEndpoint{ "e", 9 });
  run.Run(RetireEndpoint{ "e", 4 });
  EXPECT_EQ(run.State().Retired().at("e").incarnation_, 9);
}

TEST(LedgerDeployment, PrefetchIsLimitedButNeededTokensAreGranted)
{
  LateReportingRouters run;
  const auto first = run.Register("a");
  const auto second = run.Register("b");
  run.Grant(first, kTotal, true);
  run.Grant(second, kTotal, true);
  EXPECT_LT(run.Budget().granted_, kTotal / 3);
  EXPECT_EQ(run.Grant(second, kTotal / 2), kTotal / 2);
}

TEST(LedgerDeployment, LoweredBudgetKeepsGrantsAndRefusesNewOnes)
{
  LateReportingRouters run;
  const auto router = run.Register("a");
  run.Grant(router, 60'000);
  run.Declare(2, 10'000);
  EXPECT_EQ(run.Grant(router, 1), 0);
  run.Op(router, ReportUsage{ kBudget, 60'000 });
  EXPECT_EQ(run.Budget().billed_, 60'000);
  EXPECT_TRUE(run.State().CheckInvariants().ok());
}

TEST(LedgerDeployment, UnreportedGrantOfDeadRouterIsHeld)
{
  LateReportingRouters run;
  const auto router = run.Register("a");
  run.Grant(router, 30'000);
  run.Op(router, ReportUsage{ kBudget, 10'000 });
  run.Register("a");
  EXPECT_EQ(run.Budget().billed_, 10'000);
  EXPECT_EQ(run.Budget().held_, 20'000);
}

TEST(LedgerDeployment, RefusedGrantReportsHeldAndElsewhereTokens)
{
  LateReportingRouters run;
  const auto dead = run.Register("a");
  run.Grant(dead, 60'000);
  run.Register("a");
  const auto other = run.Register("b");
  run.Grant(other, 30'000);
  const auto asker = run.Register("c");
  const auto result = std::get<GrantResult>(
    run.Op(asker, AcquireGrant{ kBudget, 50'000, 50'000 }));
  EXPECT_EQ(result.granted_, 0);
  EXPECT_EQ(result.available_, 10'000);
  EXPECT_EQ(result.held_, 60'000);
  EXPECT_EQ(result.elsewhere_ - result.held_, 30'000);
}

TEST(LedgerDeployment, DeregisteredRouterGrantIsFreed)
{
  LateReportingRouters run;
  const auto router = run.Register("a");
  run.Grant(router, 30'000);
  run.Op(router, ReportUsage{ kBudget, 10'000 });
  run.Op(router, DeregisterRouter{});
  EXPECT_EQ(run.Budget().held_, 0);
  EXPECT_EQ(run.Budget().Available(), kTotal - 10'000);
}

TEST(LedgerDeployment, UsageMayBeReportedBeforeItsLoan)
{
  LateReportingRouters run;
  const auto lender = run.Register("a");
  const auto borrower = run.Register("b");
  run.Grant(lender, 30'000);
  run.Op(borrower, ReportUsage{ kBudget, 5'000 });
  EXPECT_TRUE(run.State().CheckInvariants().ok());
  run.Op(lender, MoveGrant{ kBudget, borrower, 8'000 });
  run.Op(borrower, ReturnGrant{ kBudget, 3'000 });
  run.Op(lender, DeregisterRouter{});
  run.Op(borrower, DeregisterRouter{});
  EXPECT_EQ(run.Budget().Available(), kTotal - 5'000);
}

TEST(LedgerDeployment, GrantCoveringUnreportedLoanLeavesNoEmptyShare)
{
  LateReportingRouters run;
  const auto lender = run.Register("a");
  const auto borrower = run.Register("b");
  run.Grant(lender, 30'000);
  run.Op(borrower, ReportUsage{ kBudget, 5'000 });
  EXPECT_EQ(run.Grant(borrower, 5'000), 5'000);
  EXPECT_EQ(run.State().CheckInvariants(), absl::OkStatus());
  EXPECT_EQ(run.State().GrantsOf(kBudget).size(), 1U);
}

TEST(LedgerDeployment, LoanToDeadRouterIsHeld)
{
  LateReportingRouters run;
  const auto lender = run.Register("a");
  const auto borrower = run.Register("b");
  run.Grant(lender, 30'000);
  run.Op(borrower, ReportUsage{ kBudget, 5'000 });
  run.Register("b");
  run.Op(lender, MoveGrant{ kBudget, borrower, 8'000 });
  run.Op(lender, DeregisterRouter{});
  EXPECT_EQ(run.Budget().Available(), kTotal - 8'000);
}

/// A router's actual tokens, which may differ from what the ledger knows.
struct Holder
{
  Incarnation incarnation_ = 0;
  Tokens free_ = 0;
  Tokens unreported_ = 0;
  std::vector<MoveGrant> moves_;
};

RC_GTEST_PROP(LedgerDeployment, RandomReportsLoansAndDeathsNeverOverspend, ())
{
  constexpr int kRouters = 4;
  LateReportingRouters run;
  std::vector<Holder> routers(kRouters);
  for (int i = 0; i < kRouters; ++i) {
    routers[i].incarnation_ = run.Register("vm" + std::to_string(i));
  }
  Tokens spent = 0;
  const auto steps =
    *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
      300,
      rc::gen::tuple(rc::gen::inRange(-1, 8),
                     rc::gen::inRange(0, kRouters),
                     rc::gen::inRange(1, 9'000)));
  for (const auto& [action, which, amount] : steps) {
    Holder& router = routers[which];
    Holder& other = routers[(which + 1) % kRouters];
    const Tokens tokens = std::min<Tokens>(amount, router.free_);
    switch (action) {
      case -1:
        run.Run(AdmitVersion{ "s", "1" });
        run.Run(AdmitVersion{ "s", "2" });
        router.free_ += run.Grant(router.incarnation_, amount, false, true);
        break;
      case 0:
      case 1:
        router.free_ += run.Grant(router.incarnation_, amount, action == 0);
        break;
      case 2:
      case 3:
        router.free_ -= tokens;
        router.unreported_ += tokens;
        spent += tokens;
        break;
      case 4:
        if (router.unreported_ > 0) {
          run.Op(router.incarnation_,
                 ReportUsage{ kBudget, std::exchange(router.unreported_, 0) });
        }
        break;
      case 5:
        router.free_ -= tokens;
        other.free_ += tokens;
        router.moves_.push_back({ kBudget, other.incarnation_, tokens });
        break;
      case 6:
        for (const auto& move : std::exchange(router.moves_, {})) {
          run.Op(router.incarnation_, move);
        }
        router.free_ -= tokens;
        run.Op(router.incarnation_, ReturnGrant{ kBudget, tokens });
        break;
      default:
        router = { .incarnation_ = run.Register("vm" + std::to_string(which)) };
    }
    RC_ASSERT(spent <= kTotal);
    RC_ASSERT(run.State().CheckInvariants().ok());
  }
}

} // namespace
} // namespace cactuswick::ledger

#include <gtest/gtest.h>

#include "cactuswick/routing/process/FleetGrants.h"

#include <algorithm>
#include <deque>
#include <map>
#include <utility>

#include "cactuswick/ledger/version/Ledger.h"
#include "cactuswick/routing/process/GrantTable.h"

namespace cactuswick::routing {
namespace {

constexpr const char* kBudget = "w/prepaid";
constexpr size_t kRouters = 72;
constexpr size_t kDomains = 4;

std::vector<ledger::RouterRecord>
MakeRouters(size_t aRouters)
{
  std::vector<ledger::RouterRecord> routers;
  for (size_t i = 0; i < aRouters; ++i) {
    routers.push_back(
      { .incarnation_ = static_cast<ledger::Incarnation>(i + 1),
        .vm_ = "vm-" + std::to_string(i),
        .failureDomain_ = "domain-" + std::to_string(i % kDomains) });
  }
  return routers;
}

TEST(FleetGrants, SelectsTwoReserveHoldersPerFailureDomain)
{
  const auto holders = SelectReserveHolders(kBudget, MakeRouters(kRouters));
  std::map<size_t, int> perDomain;
  for (const auto holder : holders) {
    ++perDomain[static_cast<size_t>(holder - 1) % kDomains];
  }
  ASSERT_EQ(perDomain.size(), kDomains);
  for (const auto& [domain, count] : perDomain) {
    EXPECT_EQ(count, 2);
  }
  EXPECT_NE(holders,
            SelectReserveHolders("other/prepaid", MakeRouters(kRouters)));
  EXPECT_EQ(SelectReserveHolders(kBudget, MakeRouters(3)).size(), 3U);
}

TEST(FleetGrants, ReplacesOnlyDrainingReserveHolder)
{
  auto routers = MakeRouters(kRouters);
  const auto before = SelectReserveHolders(kBudget, routers);
  routers[static_cast<size_t>(before[0] - 1)].state_ =
    ledger::RouterState::kDraining;
  auto after = SelectReserveHolders(kBudget, routers);
  EXPECT_EQ(after.size(), before.size());
  EXPECT_EQ(std::count_if(after.begin(),
                          after.end(),
                          [&](const auto aHolder) {
                            return std::find(before.begin(),
                                             before.end(),
                                             aHolder) != before.end();
                          }),
            static_cast<std::ptrdiff_t>(before.size() - 1));
}

TEST(FleetGrants, ReportIntervalBoundsTotalReportRate)
{
  EXPECT_EQ(ReportIntervalMs(1), 500);
  EXPECT_EQ(ReportIntervalMs(72), 720);
  EXPECT_EQ(ReportIntervalMs(340), 3'400);
}

/// Simulates routers that exchange operations with a ledger once per round
/// trip.
class FleetSimulation
{
public:
  static constexpr Tokens kBudgetTokens = 40'000'000;
  static constexpr Tokens kRequestTokens = 5'000;
  static constexpr int64_t kStepMs = 50;
  static constexpr int64_t kRoundTripMs = 200;
  static constexpr int64_t kRequestTimeoutMs = 400;
  static constexpr int64_t kRefillIntervalMs = 500;
  static constexpr int kRequestsPerStep = 4;

  explicit FleetSimulation(bool aAcquiresForBacklog)
    : acquiresForBacklog_(aAcquiresForBacklog)
  {
    ledger_.Apply(
      ledger::ReplaceDeployment{ .version_ = 1,
                                 .document_ = { "document" },
                                 .budgets_ = { { "w", kBudgetTokens } } },
      ++logTimeMs_);
    for (const auto& router : MakeRouters(kRouters)) {
      const auto reply = ledger_.Apply(
        ledger::RegisterRouter{ .nonce_ = "nonce-of-" + router.vm_,
                                .vm_ = router.vm_,
                                .failureDomain_ = router.failureDomain_,
                                .reportsLate_ = true },
        ++logTimeMs_);
      routers_.push_back(
        { .incarnation_ = std::get<ledger::Registered>(reply).incarnation_,
          .grants_ = GrantTable({ .horizonMs_ = 9'000,
                                  .extrapolates_ = true,
                                  .refillPercent_ = 85,
                                  .targetPercent_ = 140 }) });
    }
  }

  /// Sends requests to the first @p aActiveRouters routers in rotation, without
  /// connection to the ledger if @p aCutOff. Returns the number of requests
  /// that timed out before a grant covered them.
  int64_t Simulate(size_t aActiveRouters, int64_t aDurationMs, bool aCutOff)
  {
    timedOut_ = 0;
    for (const int64_t end = now_ + aDurationMs; now_ < end; now_ += kStepMs) {
      for (int i = 0; i < kRequestsPerStep; ++i) {
        routers_[nextRouter_++ % aActiveRouters].waiting_.push_back(now_);
      }
      for (auto& router : routers_) {
        if (!aCutOff && now_ % kRoundTripMs == 0) {
          ExchangeWithLedger(router);
        }
        Serve(router);
      }
    }
    return timedOut_;
  }

private:
  struct Router
  {
    ledger::Incarnation incarnation_ = 0;
    GrantTable grants_;
    std::deque<int64_t> waiting_;
    Tokens unreportedTokens_ = 0;
    int64_t sequence_ = 0;
  };

  Tokens Apply(Router& aRouter, const ledger::RouterOp& aOp)
  {
    const auto reply = ledger_.Apply(
      ledger::RouterBatch{ aRouter.incarnation_, ++aRouter.sequence_, { aOp } },
      ++logTimeMs_);
    const auto& result = std::get<ledger::BatchReply>(reply).results_.at(0);
    const auto* grant = std::get_if<ledger::GrantResult>(&result);
    return grant == nullptr ? 0 : grant->granted_;
  }

  void ExchangeWithLedger(Router& aRouter)
  {
    if (aRouter.unreportedTokens_ > 0) {
      Apply(aRouter,
            ledger::ReportUsage{ kBudget,
                                 std::exchange(aRouter.unreportedTokens_, 0) });
    }
    const auto waiting = static_cast<Tokens>(aRouter.waiting_.size());
    if (waiting > 0) {
      const Tokens all = acquiresForBacklog_ ? waiting * kRequestTokens : 0;
      const auto acquire =
        aRouter.grants_.Ask(kBudget, kRequestTokens, now_, all);
      aRouter.grants_.OnGranted(kBudget, Apply(aRouter, acquire));
      Serve(aRouter);
    }
    const bool refillDue = acquiresForBacklog_ || now_ % kRefillIntervalMs == 0;
    const auto refill = aRouter.grants_.PlanRefill(kBudget, now_);
    if (refillDue && refill) {
      aRouter.grants_.OnGranted(kBudget, Apply(aRouter, *refill));
    }
  }

  void Serve(Router& aRouter)
  {
    auto& waiting = aRouter.waiting_;
    while (!waiting.empty() &&
           aRouter.grants_.Reserve(kBudget, kRequestTokens, now_)) {
      aRouter.grants_.Spend(kBudget, kRequestTokens);
      aRouter.unreportedTokens_ += kRequestTokens;
      waiting.pop_front();
    }
    while (!waiting.empty() && now_ - waiting.front() >= kRequestTimeoutMs) {
      waiting.pop_front();
      ++timedOut_;
    }
  }

  bool acquiresForBacklog_;
  ledger::Ledger ledger_;
  ledger::LogTimeMs logTimeMs_ = 0;
  std::vector<Router> routers_;
  int64_t now_ = 1'000;
  int64_t timedOut_ = 0;
  size_t nextRouter_ = 0;
};

TEST(FleetGrants, AcquiringForWholeBacklogAvoidsTimeoutsAtOneRouter)
{
  EXPECT_EQ(FleetSimulation(true).Simulate(1, 3'000, false), 0);
  // Acquires for one request at a time and refills at intervals only.
  EXPECT_GT(FleetSimulation(false).Simulate(1, 3'000, false), 0);
}

TEST(FleetGrants, GrantsCoverControlOutageAtOneOrAllRouters)
{
  FleetSimulation one(true);
  one.Simulate(1, 6'000, false);
  FleetSimulation spread(true);
  spread.Simulate(kRouters, 6'000, false);
  EXPECT_EQ(one.Simulate(1, 9'000, true), 0);
  EXPECT_EQ(spread.Simulate(kRouters, 9'000, true), 0);
}

/// Returns the tokens that a router without a grant borrows for requests of
/// @p aRequestTokens tokens from @p aLenders lenders that hold @p aHeldTokens
/// each.
Tokens
BorrowedTokens(Tokens aHeldTokens, int aLenders, Tokens aRequestTokens)
{
  Tokens sum = 0;
  for (int i = 0; i < aLenders; ++i) {
    GrantTable lender;
    lender.OnGranted(kBudget, aHeldTokens);
    sum += lender.Lend(kBudget, aHeldTokens, aRequestTokens);
  }
  return sum;
}

TEST(FleetGrants, ReserveAtFewHoldersCoversRequestsThatEvenSplitCannot)
{
  constexpr Tokens kReserve = 400'000;
  constexpr Tokens kRequestTokens = 20'000;
  const auto holders =
    SelectReserveHolders(kBudget, MakeRouters(kRouters)).size();
  EXPECT_EQ(BorrowedTokens(kReserve / kRouters, 8, kRequestTokens), 0);
  EXPECT_GE(
    BorrowedTokens(kReserve / static_cast<Tokens>(holders), 8, kRequestTokens),
    kReserve / 2);
}

TEST(FleetGrants, ReserveGrowsWithTheFleetUpToALimit)
{
  EXPECT_EQ(ReservePercent(0), 8);
  EXPECT_EQ(ReservePercent(12), 8);
  EXPECT_EQ(ReservePercent(24), 16);
  EXPECT_NEAR(ReservePercent(191), 23, 0.1);
  EXPECT_LT(ReservePercent(100'000), 24);
}

// Load: one workspace, whose requests each go to another router of a fleet that
// is cut off from control, and use a fifth of the budget meanwhile. Holders
// lend what a request needs until the reserve is used up.
TEST(FleetGrants, ReserveOfALargeFleetCoversTheUseOfACut)
{
  constexpr Tokens kTotal = 10'000'000;
  constexpr int64_t kRouters = 191;
  constexpr size_t kHolders = 10;
  constexpr Tokens kRequest = 17'000;
  constexpr Tokens kUseInCut = kTotal / 5;
  std::vector<GrantTable> holders(kHolders);
  const auto share =
    static_cast<Tokens>(kTotal * ReservePercent(kRouters) / 100) /
    static_cast<Tokens>(kHolders);
  for (auto& holder : holders) {
    holder.OnGranted("b", share);
  }
  Tokens lent = 0;
  for (size_t i = 0; lent < kUseInCut && i < holders.size();) {
    const Tokens amount = holders[i].Lend("b", kRequest, kRequest);
    lent += amount;
    i += amount == 0 ? 1 : 0;
  }
  EXPECT_GE(lent, kUseInCut);
}

} // namespace
} // namespace cactuswick::routing

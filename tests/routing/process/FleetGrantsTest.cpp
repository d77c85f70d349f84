#include <gtest/gtest.h>

#include "cactuswick/routing/process/FleetGrants.h"

#include <algorithm>
#include <deque>
#include <map>
#include <utility>

#include "cactuswick/ledger/version/Ledger.h"
#include "cactuswick/routing/process/GrantBook.h"

namespace cactuswick::routing {
namespace {

constexpr const char* kBudget = "w/prepaid";
constexpr size_t kRouters = 72;
constexpr size_t kDomains = 4;

std::vector<ledger::RouterRecord>
Fleet(size_t aRouters)
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

TEST(FleetGrants, AFewRoutersOfEachDomainKeepAReserve)
{
  const auto holders = ReserveHoldersOf(kBudget, Fleet(kRouters));
  std::map<size_t, int> perDomain;
  for (const auto holder : holders) {
    ++perDomain[static_cast<size_t>(holder - 1) % kDomains];
  }
  ASSERT_EQ(perDomain.size(), kDomains);
  for (const auto& [domain, count] : perDomain) {
    EXPECT_EQ(count, 2);
  }
  EXPECT_NE(holders, ReserveHoldersOf("other/prepaid", Fleet(kRouters)));
  EXPECT_EQ(ReserveHoldersOf(kBudget, Fleet(3)).size(), 3U);
}

TEST(FleetGrants, OnlyTheReserveHoldersThatLeaveAreReplaced)
{
  auto routers = Fleet(kRouters);
  const auto before = ReserveHoldersOf(kBudget, routers);
  routers[static_cast<size_t>(before[0] - 1)].state_ =
    ledger::RouterState::kDraining;
  auto after = ReserveHoldersOf(kBudget, routers);
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

TEST(FleetGrants, ReportsOfAllRoutersTogetherAreBounded)
{
  EXPECT_EQ(ReportIntervalMs(1), 500);
  EXPECT_EQ(ReportIntervalMs(72), 720);
  EXPECT_EQ(ReportIntervalMs(340), 3'400);
}

/// Routers with their books, and the ledger that they talk to once a trip.
class FleetReplay
{
public:
  static constexpr Tokens kTotal = 40'000'000;
  static constexpr Tokens kRequest = 5'000;
  static constexpr int64_t kStepMs = 50;
  static constexpr int64_t kTripMs = 200;
  static constexpr int64_t kPatienceMs = 400;
  static constexpr int64_t kAheadMs = 500;
  static constexpr int kPerStep = 4;

  explicit FleetReplay(bool aAsksForAll)
    : asksForAll_(aAsksForAll)
  {
    ledger_.Apply(ledger::ReplaceDeployment{ .version_ = 1,
                                             .document_ = { "document" },
                                             .budgets_ = { { "w", kTotal } } },
                  ++time_);
    for (const auto& router : Fleet(kRouters)) {
      const auto reply = ledger_.Apply(
        ledger::RegisterRouter{ .nonce_ = "nonce-of-" + router.vm_,
                                .vm_ = router.vm_,
                                .failureDomain_ = router.failureDomain_,
                                .reportsLate_ = true },
        ++time_);
      routers_.push_back(
        { .incarnation_ = std::get<ledger::Registered>(reply).incarnation_,
          .book_ = GrantBook({ .horizonMs_ = 9'000,
                               .extrapolates_ = true,
                               .refillPercent_ = 85,
                               .marginPercent_ = 140 }) });
    }
  }

  /// Requests come to the first @p aUsed routers in turn; returns the number of
  /// those whose patience ended before they were covered.
  int64_t Play(size_t aUsed, int64_t aForMs, bool aCut)
  {
    refused_ = 0;
    for (const int64_t end = now_ + aForMs; now_ < end; now_ += kStepMs) {
      for (int i = 0; i < kPerStep; ++i) {
        routers_[turn_++ % aUsed].waiting_.push_back(now_);
      }
      for (auto& router : routers_) {
        if (!aCut && now_ % kTripMs == 0) {
          Talk(router);
        }
        Serve(router);
      }
    }
    return refused_;
  }

private:
  struct Router
  {
    ledger::Incarnation incarnation_ = 0;
    GrantBook book_;
    std::deque<int64_t> waiting_;
    Tokens used_ = 0;
    int64_t sequence_ = 0;
  };

  Tokens Run(Router& aRouter, const ledger::RouterOp& aOp)
  {
    const auto reply = ledger_.Apply(
      ledger::RouterBatch{ aRouter.incarnation_, ++aRouter.sequence_, { aOp } },
      ++time_);
    const auto& result = std::get<ledger::BatchReply>(reply).results_.at(0);
    const auto* grant = std::get_if<ledger::GrantResult>(&result);
    return grant == nullptr ? 0 : grant->granted_;
  }

  void Talk(Router& aRouter)
  {
    if (aRouter.used_ > 0) {
      Run(aRouter,
          ledger::ReportUsage{ kBudget, std::exchange(aRouter.used_, 0) });
    }
    const auto waiting = static_cast<Tokens>(aRouter.waiting_.size());
    if (waiting > 0) {
      const Tokens all = asksForAll_ ? waiting * kRequest : 0;
      const auto ask = aRouter.book_.Ask(kBudget, kRequest, now_, all);
      aRouter.book_.OnGranted(kBudget, Run(aRouter, ask));
      Serve(aRouter);
    }
    const bool asksAhead = asksForAll_ || now_ % kAheadMs == 0;
    const auto refill = aRouter.book_.Refill(kBudget, now_);
    if (asksAhead && refill) {
      aRouter.book_.OnGranted(kBudget, Run(aRouter, *refill));
    }
  }

  void Serve(Router& aRouter)
  {
    auto& waiting = aRouter.waiting_;
    while (!waiting.empty() && aRouter.book_.Reserve(kBudget, kRequest, now_)) {
      aRouter.book_.Spend(kBudget, kRequest);
      aRouter.used_ += kRequest;
      waiting.pop_front();
    }
    while (!waiting.empty() && now_ - waiting.front() >= kPatienceMs) {
      waiting.pop_front();
      ++refused_;
    }
  }

  bool asksForAll_;
  ledger::Ledger ledger_;
  ledger::LogTimeMs time_ = 0;
  std::vector<Router> routers_;
  int64_t now_ = 1'000;
  int64_t refused_ = 0;
  size_t turn_ = 0;
};

TEST(FleetGrants, AllWhoWaitAtOneRouterAreServedFromTheFirstSecond)
{
  EXPECT_EQ(FleetReplay(true).Play(1, 3'000, false), 0);
  // One ask for one request at a time, ahead only at intervals.
  EXPECT_GT(FleetReplay(false).Play(1, 3'000, false), 0);
}

TEST(FleetGrants, CallersAtOneRouterAreServedThroughACutLikeThoseSpread)
{
  FleetReplay one(true);
  one.Play(1, 6'000, false);
  FleetReplay spread(true);
  spread.Play(kRouters, 6'000, false);
  EXPECT_EQ(one.Play(1, 9'000, true), 0);
  EXPECT_EQ(spread.Play(kRouters, 9'000, true), 0);
}

/// Tokens that a router without any borrows for requests of @p aRequest from
/// the first @p aAsks of lenders with @p aHeld each.
Tokens
Borrowed(Tokens aHeld, int aAsks, Tokens aRequest)
{
  Tokens sum = 0;
  for (int i = 0; i < aAsks; ++i) {
    GrantBook lender;
    lender.OnGranted(kBudget, aHeld);
    sum += lender.Lend(kBudget, aHeld, aRequest);
  }
  return sum;
}

TEST(FleetGrants, AReserveAtItsHoldersCoversRequestsThatNoCrumbCovers)
{
  constexpr Tokens kReserve = 400'000;
  constexpr Tokens kRequest = 20'000;
  const auto holders = ReserveHoldersOf(kBudget, Fleet(kRouters)).size();
  EXPECT_EQ(Borrowed(kReserve / kRouters, 8, kRequest), 0);
  EXPECT_GE(Borrowed(kReserve / static_cast<Tokens>(holders), 8, kRequest),
            kReserve / 2);
}

} // namespace
} // namespace cactuswick::routing

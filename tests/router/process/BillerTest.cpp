#include "process/BillerFixture.h"

#include <algorithm>
#include <vector>

#include <gtest/gtest.h>

namespace cactuswick::router {
namespace {

using ledger::AcquireGrant;
using transport::EventLoop;

/// Grants and reservations.
class BillerTest : public BillerFixture
{};

TEST_F(BillerTest, PrefetchesOnceWhenOtherRequestIsAnsweredFirst)
{
  ASSERT_TRUE(listening_.ok());
  Reserve(100);
  EXPECT_EQ(GrantRequestsIn(NextBatch()).size(), 1U);
  Answer(100);
  RunUntilGranted(1);
  biller_.RecordUsage(kBudget, 100, 100);
  // Fills the batch, so that the prefetch goes into the next one.
  for (size_t i = 1; i < kMaxBatchOps; ++i) {
    control_.Submit(ledger::Heartbeat{});
  }
  Reserve(100);
  ASSERT_EQ(NextBatch().ops_.size(), kMaxBatchOps);
  EXPECT_FALSE(GrantRequestsIn(NextBatch()).at(0).prefetch_);
  Answer(100);
  RunUntilGranted(2);
  ASSERT_EQ(GrantRequestsIn(NextBatch()).size(), 1U);
  EXPECT_TRUE(GrantRequestsIn(NextBatch()).at(0).prefetch_);
  // Another reservation arrives while the prefetch is in flight.
  Reserve(100);
  Answer(10'000);
  const auto requests = GrantRequestsIn(NextBatch());
  ASSERT_EQ(requests.size(), 1U);
  EXPECT_FALSE(requests.at(0).prefetch_);
}

TEST_F(BillerTest, RequestsForWaitersDuringPrefetch)
{
  ASSERT_TRUE(listening_.ok());
  biller_.RequestInitialGrant(kBudget, 70);
  EXPECT_TRUE(GrantRequestsIn(NextBatch()).at(0).prefetch_);
  Reserve(100);
  control_.Submit(ledger::Heartbeat{});
  Answer(10);
  // In the next batch, ahead of operations submitted later.
  const auto batch = NextBatch();
  ASSERT_EQ(batch.ops_.size(), 2U);
  const auto* request = std::get_if<AcquireGrant>(batch.ops_.data());
  ASSERT_NE(request, nullptr);
  EXPECT_FALSE(request->prefetch_);
  EXPECT_EQ(request->want_, 100);
}

TEST_F(BillerTest, SendsOneRequestForWaitersAtATime)
{
  ASSERT_TRUE(listening_.ok());
  Reserve(100);
  EXPECT_EQ(GrantRequestsIn(NextBatch(), false).size(), 1U);
  Reserve(200);
  Reserve(300);
  // Reservations that arrived in the meantime share one request, sent only
  // after the reply.
  const auto second =
    GrantRequestsIn(AnswerAndWait({ .granted_ = 100 }), false);
  ASSERT_EQ(second.size(), 1U);
  EXPECT_EQ(second.at(0).want_, 500);
  Reserve(400);
  const auto denied =
    AnswerAndWait({ .available_ = 100, .elsewhere_ = 10'000 });
  EXPECT_TRUE(GrantRequestsIn(denied, false).empty());
  const auto third = NextGrantRequests();
  ASSERT_EQ(third.size(), 1U);
  EXPECT_EQ(third.at(0).want_, 900);
}

TEST_F(BillerTest, PrefetchDoesNotCountAsRequestForWaiters)
{
  constexpr std::chrono::milliseconds kDelay(100);
  ASSERT_TRUE(listening_.ok());
  biller_.RequestInitialGrant(kBudget, 70);
  NextBatch();
  std::this_thread::sleep_for(kDelay);
  const int64_t reservedMs = EventLoop::NowMs();
  Reserve(100);
  const int64_t requestAgeMs =
    biller_.GrantWaitStatusOf(kBudget).grantRequestAgeMs_;
  EXPECT_LE(requestAgeMs, EventLoop::NowMs() - reservedMs);
}

TEST_F(BillerTest, PrefetchCountsTokensOfOpenRequest)
{
  constexpr int64_t kOwner = 5;
  ASSERT_TRUE(listening_.ok());
  biller_.RequestInitialGrant(kBudget, 70);
  NextBatch();
  Reserve(1'000, kOwner);
  Answer(70);
  ASSERT_EQ(GrantRequestsIn(NextBatch()).size(), 1U);
  EXPECT_EQ(GrantRequestsIn(NextBatch()).at(0).want_, 1'000);
  biller_.CancelReserve(kOwner);
  // Leaves less than the next interval needs, not counting the 1,000 tokens in
  // flight.
  Reserve(65);
  control_.Submit(ledger::Heartbeat{});
  Answer(1'000);
  EXPECT_TRUE(GrantRequestsIn(NextBatch()).empty());
}

TEST_F(BillerTest, DenialDoesNotFailSmallerReservation)
{
  constexpr int64_t kOwner = 5;
  ASSERT_TRUE(listening_.ok());
  Reserve(30'000, kOwner);
  EXPECT_EQ(GrantRequestsIn(NextBatch()).at(0).minimum_, 30'000);
  Reserve(2'000);
  biller_.CancelReserve(kOwner);
  const auto requests =
    GrantRequestsIn(AnswerAndWait({ .available_ = 10'000 }));
  EXPECT_TRUE(refused_.empty());
  ASSERT_EQ(requests.size(), 1U);
  EXPECT_EQ(requests.at(0).minimum_, 2'000);
  Answer(2'000);
  RunUntilGranted(1);
}

TEST_F(BillerTest, DenialDoesNotFailCoveredReservation)
{
  constexpr int64_t kOwner = 5;
  ASSERT_TRUE(listening_.ok());
  biller_.RequestInitialGrant(kBudget, 3'000);
  NextBatch();
  Reserve(30'000, kOwner);
  Answer(3'000);
  EXPECT_EQ(GrantRequestsIn(NextBatch()).at(0).minimum_, 30'000);
  Reserve(2'000);
  biller_.CancelReserve(kOwner);
  AnswerAndWait({ .available_ = 10'000 });
  EXPECT_TRUE(refused_.empty());
  RunUntilGranted(1);
}

TEST_F(BillerTest, DenialFailsReservationOfSameSize)
{
  constexpr int64_t kOwner = 5;
  ASSERT_TRUE(listening_.ok());
  Reserve(30'000, kOwner);
  NextBatch();
  Reserve(30'000);
  biller_.CancelReserve(kOwner);
  AnswerAndWait({ .available_ = 10'000 });
  EXPECT_EQ(refused_, std::vector{ model::ErrorKind::kBudgetExhausted });
}

TEST_F(BillerTest, RequestsForRemainingWaitersAfterGrant)
{
  ASSERT_TRUE(listening_.ok());
  Reserve(100);
  NextBatch();
  Reserve(200);
  const auto requests =
    GrantRequestsIn(AnswerAndWait({ .granted_ = 100 }), false);
  ASSERT_EQ(requests.size(), 1U);
  EXPECT_EQ(requests.at(0).want_, 200);
}

TEST_F(BillerTest, RequestsForWaitersBehindRefusedReservation)
{
  ASSERT_TRUE(listening_.ok());
  Reserve(100);
  NextBatch();
  Reserve(50);
  const auto requests =
    GrantRequestsIn(AnswerAndWait({ .available_ = 60 }), false);
  EXPECT_EQ(refused_.size(), 1U);
  ASSERT_EQ(requests.size(), 1U);
  EXPECT_EQ(requests.at(0).want_, 50);
}

TEST_F(BillerTest, RefusesAllReservationsThatBudgetDoesNotCover)
{
  ASSERT_TRUE(listening_.ok());
  Reserve(3'000);
  NextBatch();
  Reserve(4'000);
  Reserve(1'000);
  Reserve(3'000);
  const auto requests =
    GrantRequestsIn(AnswerAndWait({ .available_ = 2'000 }), false);
  EXPECT_EQ(refused_, std::vector(3, model::ErrorKind::kBudgetExhausted));
  ASSERT_EQ(requests.size(), 1U);
  EXPECT_EQ(requests.at(0).minimum_, 1'000);
}

TEST_F(BillerTest, NewReservationDoesNotShortenRetryDelayDeniedBudgetOf)
{
  constexpr int64_t kRetryDelayMs = 100;
  ASSERT_TRUE(listening_.ok());
  Reserve(100);
  NextBatch();
  const int64_t denied = EventLoop::NowMs();
  AnswerAndWait({ .elsewhere_ = 10'000 });
  Reserve(50);
  const auto requests = NextGrantRequests();
  EXPECT_GE(EventLoop::NowMs() - denied, kRetryDelayMs);
  ASSERT_EQ(requests.size(), 1U);
  EXPECT_EQ(requests.at(0).want_, 150);
}

TEST_F(BillerTest, RequestsForNewReservationAfterDeniedOneIsCancelled)
{
  constexpr int64_t kOwner = 5;
  ASSERT_TRUE(listening_.ok());
  Reserve(30'000, kOwner);
  NextBatch();
  AnswerAndWait({ .available_ = 10'000, .elsewhere_ = 500'000 });
  biller_.CancelReserve(kOwner);
  Reserve(2'000);
  const auto requests = GrantRequestsIn(AnswerAndWait({}), false);
  ASSERT_EQ(requests.size(), 1U);
  EXPECT_EQ(requests.at(0).minimum_, 2'000);
}

TEST_F(BillerTest, ServesCoveredReservationAfterFirstIsCancelled)
{
  constexpr int64_t kOwner = 5;
  ASSERT_TRUE(listening_.ok());
  biller_.RequestInitialGrant(kBudget, 1'000);
  NextBatch();
  AnswerAndWait({ .granted_ = 1'000 });
  Reserve(30'000, kOwner);
  Reserve(500);
  biller_.CancelReserve(kOwner);
  EXPECT_EQ(biller_.Free(kBudget), 500);
  EXPECT_EQ(biller_.GrantWaitStatusOf(kBudget).waiting_, 0);
}

TEST_F(BillerTest, RequestsForWaiterBehindCancelledDeniedOne)
{
  constexpr int64_t kOwner = 5;
  ASSERT_TRUE(listening_.ok());
  Reserve(30'000, kOwner);
  NextBatch();
  Reserve(2'000);
  AnswerAndWait({ .elsewhere_ = 500'000 });
  biller_.CancelReserve(kOwner);
  const auto requests = GrantRequestsIn(AnswerAndWait({}), false);
  ASSERT_EQ(requests.size(), 1U);
  EXPECT_EQ(requests.at(0).minimum_, 2'000);
}

TEST_F(BillerTest, DoesNotFailReservationCancelledByHook)
{
  constexpr int64_t kOwner = 5;
  bool failed = false;
  ASSERT_TRUE(listening_.ok());
  biller_.Reserve({ .budget_ = kBudget, .amount_ = 3'000, .owner_ = 1 },
                  [&](const absl::Status& aStatus) {
                    EXPECT_FALSE(aStatus.ok());
                    biller_.CancelReserve(kOwner);
                  });
  biller_.Reserve({ .budget_ = kBudget, .amount_ = 3'000, .owner_ = kOwner },
                  [&](const absl::Status&) { failed = true; });
  NextBatch();
  AnswerAndWait({});
  EXPECT_FALSE(failed);
}

TEST_F(BillerTest, HooksThatReleaseAreNotNested)
{
  constexpr int kRequests = 50;
  int depth = 0;
  int deepest = 0;
  int served = 0;
  ASSERT_TRUE(listening_.ok());
  for (int i = 0; i < kRequests; ++i) {
    biller_.Reserve({ .budget_ = kBudget, .amount_ = 100, .owner_ = i },
                    [&](const absl::Status& aStatus) {
                      served += aStatus.ok() ? 1 : 0;
                      deepest = std::max(deepest, ++depth);
                      biller_.Release(kBudget, 100);
                      --depth;
                    });
  }
  NextBatch();
  AnswerAndWait({ .granted_ = 100 });
  EXPECT_EQ(served, kRequests);
  EXPECT_EQ(deepest, 1);
}

TEST_F(BillerTest, DenialOfNewRequestDoesNotRefuseTakeUp)
{
  constexpr int64_t kNew = 1;
  constexpr int64_t kTakeUp = 2;
  ASSERT_TRUE(listening_.ok());
  Reserve(300, kNew);
  NextBatch();
  Reserve(300, kTakeUp, true);
  const auto requests = GrantRequestsIn(
    AnswerAndWait({ .elsewhere_ = 5'000, .held_ = 5'000 }), false);
  EXPECT_TRUE(refused_.empty());
  ASSERT_EQ(requests.size(), 1U);
  EXPECT_TRUE(requests.at(0).takesUp_);
  Answer(300);
  RunUntilGranted(1);
  EXPECT_TRUE(refused_.empty());
}

} // namespace
} // namespace cactuswick::router

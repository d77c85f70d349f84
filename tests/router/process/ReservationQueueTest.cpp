#include "process/ReservationQueue.h"

#include <vector>

#include <gtest/gtest.h>

namespace cactuswick::router {
namespace {

using ledger::Tokens;

class ReservationQueueTest : public testing::Test
{
protected:
  void Add(int64_t aOwner, Tokens aAmount, bool aTakesUp = false)
  {
    queue_.Add({ .owner_ = aOwner,
                 .amount_ = aAmount,
                 .takesUp_ = aTakesUp,
                 .hook_ = [this, aOwner](const absl::Status& aStatus) {
                   (aStatus.ok() ? served_ : failed_).push_back(aOwner);
                 } });
  }

  /// Serves from @p aFree tokens.
  void Serve(Tokens aFree)
  {
    queue_.Serve([&](Tokens aAmount) {
      const bool fits = aAmount <= aFree;
      aFree -= fits ? aAmount : 0;
      return fits;
    });
  }

  ReservationQueue queue_;
  std::vector<int64_t> served_;
  std::vector<int64_t> failed_;
};

TEST_F(ReservationQueueTest, StreamsTakenUpGoFirst)
{
  Add(1, 100);
  Add(2, 100, true);
  Add(3, 100);
  Add(4, 100, true);
  Serve(400);
  EXPECT_EQ(served_, (std::vector<int64_t>{ 2, 4, 1, 3 }));
}

TEST_F(ReservationQueueTest, OldestMayWaitBehindStreamsTakenUp)
{
  Add(1, 100);
  Add(2, 100, true);
  EXPECT_EQ(queue_.First().owner_, 2);
  queue_.FailOldest(absl::CancelledError());
  EXPECT_EQ(failed_, std::vector<int64_t>{ 1 });
}

TEST_F(ReservationQueueTest, ServesInOrderUntilOneDoesNotFit)
{
  Add(1, 100);
  Add(2, 300);
  Add(3, 50);
  Serve(350);
  EXPECT_EQ(served_, std::vector<int64_t>{ 1 });
  EXPECT_EQ(queue_.Size(), 2U);
  EXPECT_EQ(queue_.First().owner_, 2);
  EXPECT_EQ(queue_.TotalAmount(), 350);
}

TEST_F(ReservationQueueTest, CoversThoseThatFit)
{
  Add(1, 300);
  Add(2, 100);
  Add(3, 50);
  EXPECT_EQ(queue_.AmountCoveredBy(160), 150);
  EXPECT_EQ(queue_.AmountCoveredBy(0), 0);
}

TEST_F(ReservationQueueTest, CancelsWithoutHook)
{
  Add(1, 100);
  EXPECT_FALSE(queue_.Cancel(2));
  EXPECT_TRUE(queue_.Cancel(1));
  EXPECT_TRUE(queue_.IsEmpty());
  EXPECT_TRUE(served_.empty() && failed_.empty());
}

TEST_F(ReservationQueueTest, FailsOnlyThoseOfTheAmount)
{
  Add(1, 100);
  Add(2, 50);
  Add(3, 200);
  queue_.Fail(100, absl::InternalError(""));
  EXPECT_EQ(failed_, (std::vector<int64_t>{ 1, 3 }));
  EXPECT_EQ(queue_.First().owner_, 2);
}

TEST_F(ReservationQueueTest, DoesNotFailReservationMadeByHook)
{
  queue_.Add({ .owner_ = 1,
               .amount_ = 100,
               .hook_ = [this](const absl::Status&) { Add(2, 100); } });
  queue_.Fail(100, absl::InternalError(""));
  EXPECT_TRUE(failed_.empty());
  EXPECT_EQ(queue_.First().owner_, 2);
}

TEST_F(ReservationQueueTest, ServeFromHookDoesNothing)
{
  queue_.Add(
    { .owner_ = 1, .amount_ = 100, .hook_ = [this](const absl::Status&) {
       Serve(100);
       EXPECT_TRUE(served_.empty());
     } });
  Add(2, 100);
  Serve(200);
  EXPECT_EQ(served_, std::vector<int64_t>{ 2 });
}

} // namespace
} // namespace cactuswick::router

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "cactuswick/routing/request/FairQueue.h"

#include <map>
#include <set>

namespace cactuswick::routing {
namespace {

QueuedRequest
Request(RequestId aId, const std::string& aWorkspace, int64_t aPriority = 0)
{
  return { .id_ = aId,
           .workspace_ = aWorkspace,
           .priority_ = aPriority,
           .cost_ = 100,
           .deadlineMs_ = 1'000 };
}

TEST(FairQueue, ServesHighestPriorityFirst)
{
  FairQueue queue;
  queue.Push(Request(1, "a", 2));
  queue.Push(Request(2, "a", 0));
  queue.Push(Request(3, "a", 1));
  EXPECT_EQ(queue.Pop()->id_, 2);
  EXPECT_EQ(queue.Pop()->id_, 3);
  EXPECT_EQ(queue.Pop()->id_, 1);
  EXPECT_FALSE(queue.Pop());
}

TEST(FairQueue, LowRankGetsMinimumShareUnderHighPriorityLoad)
{
  FairQueue queue;
  RequestId id = 0;
  std::map<int64_t, int> served;
  for (int i = 0; i < 2'000; ++i) {
    queue.Push(Request(++id, "flood", 0));
    auto low = Request(++id, "patient", 2);
    low.floorPercent_ = 10;
    queue.Push(low);
    ++served[queue.Pop()->priority_];
  }
  EXPECT_GE(served[2], 200);
  EXPECT_LE(served[2], 220);
}

TEST(FairQueue, BacklogOfOneWorkspaceDoesNotDelayAnother)
{
  FairQueue queue;
  RequestId id = 0;
  for (int i = 0; i < 500; ++i) {
    queue.Push(Request(++id, "large"));
  }
  const RequestId small = ++id;
  queue.Push(Request(small, "small"));
  int popped = 1;
  while (queue.Pop()->id_ != small) {
    ++popped;
  }
  EXPECT_LE(popped, 2);
}

TEST(FairQueue, SharesByWeight)
{
  FairQueue queue;
  RequestId id = 0;
  for (int i = 0; i < 400; ++i) {
    auto heavy = Request(++id, "heavy");
    heavy.weight_ = 3;
    queue.Push(heavy);
    queue.Push(Request(++id, "light"));
  }
  std::map<std::string, int> served;
  for (int i = 0; i < 400; ++i) {
    ++served[queue.Pop()->workspace_];
  }
  EXPECT_NEAR(served["heavy"], 300, 3);
}

TEST(FairQueue, IdleWorkspaceAccumulatesNoCredit)
{
  FairQueue queue;
  RequestId id = 0;
  for (int i = 0; i < 100; ++i) {
    queue.Push(Request(++id, "busy"));
    queue.Pop();
  }
  for (int i = 0; i < 100; ++i) {
    queue.Push(Request(++id, "busy"));
    queue.Push(Request(++id, "late"));
  }
  std::map<std::string, int> served;
  for (int i = 0; i < 100; ++i) {
    ++served[queue.Pop()->workspace_];
  }
  EXPECT_NEAR(served["late"], 50, 2);
}

TEST(FairQueue, ServesEarliestDeadlineFirstWithinWorkspace)
{
  FairQueue queue;
  auto late = Request(1, "a");
  late.deadlineMs_ = 9'000;
  queue.Push(late);
  queue.Push(Request(2, "a"));
  EXPECT_EQ(queue.Pop()->id_, 2);
}

TEST(FairQueue, TokensAheadCountsFairShareOfOtherWorkspaces)
{
  FairQueue queue;
  RequestId id = 0;
  for (int i = 0; i < 100; ++i) {
    queue.Push(Request(++id, "flood"));
  }
  queue.Push(Request(++id, "a", 2));
  EXPECT_EQ(queue.TokensAhead(Request(++id, "small")), 100);
  EXPECT_EQ(queue.TokensAhead(Request(++id, "flood")), 10'000);
  EXPECT_EQ(queue.TokensAhead(Request(++id, "b", 2)), 10'100);
  EXPECT_EQ(queue.CountAtOrAbove(0), 100);
  EXPECT_EQ(queue.CountAtOrAbove(2), 101);
}

TEST(FairQueue, TakeExpiredRemovesOnlyExpiredRequests)
{
  FairQueue queue;
  queue.Push(Request(1, "a"));
  auto late = Request(2, "a");
  late.deadlineMs_ = 9'000;
  queue.Push(late);
  const auto expired = queue.TakeExpired(1'000);
  ASSERT_EQ(expired.size(), 1U);
  EXPECT_EQ(expired[0].id_, 1);
  EXPECT_EQ(queue.Size(), 1U);
}

TEST(FairQueue, CostCorrectionIsChargedToWorkspace)
{
  FairQueue queue;
  queue.Push(Request(1, "a"));
  const auto first = *queue.Pop();
  queue.CorrectCost(first, 1'000);
  RequestId id = 1;
  for (int i = 0; i < 20; ++i) {
    queue.Push(Request(++id, "a"));
    queue.Push(Request(++id, "b"));
  }
  std::map<std::string, int> served;
  for (int i = 0; i < 10; ++i) {
    ++served[queue.Pop()->workspace_];
  }
  EXPECT_GE(served["b"], 9);
}

RC_GTEST_PROP(FairQueueProperty, ReturnsEachQueuedRequestOnce, ())
{
  const auto operations =
    *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 10));
  FairQueue queue;
  std::set<RequestId> queued;
  RequestId id = 0;
  for (const int operation : operations) {
    if (operation < 6) {
      auto request = Request(++id, std::to_string(operation), operation % 3);
      request.deadlineMs_ = operation;
      queue.Push(request);
      queued.insert(id);
    } else if (operation == 6 && !queued.empty()) {
      RC_ASSERT(queue.Remove(*queued.begin()));
      queued.erase(queued.begin());
    } else if (const auto next = queue.Pop()) {
      RC_ASSERT(queued.erase(next->id_) == 1U);
    }
    RC_ASSERT(queue.Size() == queued.size());
  }
}

} // namespace
} // namespace cactuswick::routing

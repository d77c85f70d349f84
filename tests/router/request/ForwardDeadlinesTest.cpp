#include "request/ForwardDeadlines.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cactuswick::router {
namespace {

constexpr int64_t kStartMs = 28'748;
constexpr int64_t kWaitMs = 4'960;
/// More than a quarter of the wait, which bounds what is taken off.
constexpr int64_t kFullLinkMs = 1'300;

TEST(ForwardDeadlines, ResponseUnderWayIsNotCutBeforeItsCallerStopsWaiting)
{
  const auto deadlines = DeadlinesOf(kStartMs, kWaitMs, kFullLinkMs);
  EXPECT_EQ(deadlines.EndMs(true), kStartMs + kWaitMs);
}

TEST(ForwardDeadlines, RequestWithoutAnAnswerFailsInTimeForTheLink)
{
  EXPECT_EQ(DeadlinesOf(kStartMs, kWaitMs, 300).EndMs(false),
            kStartMs + kWaitMs - 300);
  EXPECT_EQ(DeadlinesOf(kStartMs, kWaitMs, kFullLinkMs).EndMs(false),
            kStartMs + kWaitMs - kWaitMs / 4);
  EXPECT_EQ(DeadlinesOf(kStartMs, kWaitMs, 0).queueMs_, kStartMs + kWaitMs / 2);
}

TEST(ForwardDeadlines, EndpointIsNotStoppedByTheEstimateAlone)
{
  EXPECT_EQ(DeadlinesOf(kStartMs, kWaitMs, 300).endpointMs_,
            kStartMs + kWaitMs);
  EXPECT_EQ(DeadlinesOf(kStartMs, kWaitMs, kFullLinkMs).endpointMs_,
            kStartMs + kWaitMs - kWaitMs / 4 + 400);
}

RC_GTEST_PROP(ForwardDeadlines, AreInOrderForAnyDelay, ())
{
  const auto start = *rc::gen::inRange<int64_t>(0, 1'000'000);
  const auto wait = *rc::gen::inRange<int64_t>(1, 100'000);
  const auto delay = *rc::gen::inRange<int64_t>(0, 100'000);
  const auto deadlines = DeadlinesOf(start, wait, delay);
  RC_ASSERT(start <= deadlines.queueMs_);
  RC_ASSERT(deadlines.queueMs_ <= deadlines.attemptMs_);
  RC_ASSERT(deadlines.attemptMs_ <= deadlines.endpointMs_);
  RC_ASSERT(deadlines.endpointMs_ <= deadlines.callerMs_);
}

} // namespace
} // namespace cactuswick::router

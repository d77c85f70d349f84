#include <gtest/gtest.h>

#include "version/EventLogLimiter.h"

namespace cactuswick::control {
namespace {

using ledger::ReplicaEventKind;

TEST(EventLogLimiter, AllowsOncePerSecondPerKindAndMember)
{
  EventLogLimiter limit;
  const ledger::ReplicaEvent denial{ ReplicaEventKind::kVoteDenied, "a", "x" };
  EXPECT_TRUE(limit.AllowsLog(denial, 0));
  EXPECT_FALSE(limit.AllowsLog(denial, kEventLogIntervalMs - 1));
  EXPECT_TRUE(limit.AllowsLog({ ReplicaEventKind::kVoteDenied, "b", "x" }, 1));
  EXPECT_TRUE(
    limit.AllowsLog({ ReplicaEventKind::kTransferDone, "a", "x" }, 1));
  EXPECT_TRUE(limit.AllowsLog(denial, kEventLogIntervalMs));
}

TEST(EventLogLimiter, SeparatesMemberInText)
{
  EXPECT_EQ(TextOf({ ReplicaEventKind::kSteppedDown, "a/1", "x" }),
            "steps down a/1: x");
  EXPECT_EQ(TextOf({ ReplicaEventKind::kSteppedDown, "", "x" }),
            "steps down: x");
}

TEST(EventLogLimiter, FormatsLearnerProgress)
{
  EXPECT_EQ(TextOf("a/1",
                   { .match_ = 5,
                     .lastIndex_ = 9,
                     .snapshotBytes_ = -1,
                     .transfers_ = 2,
                     .knownMs_ = 700,
                     .sinceContactMs_ = 20 }),
            "learner=a/1 match=5 of=9 snapshot_bytes=-1 transfers=2 "
            "known_ms=700 silent_ms=20");
}

} // namespace
} // namespace cactuswick::control

#include <gtest/gtest.h>

#include "version/NoteLimit.h"

namespace cactuswick::control {
namespace {

using ledger::ReplicaEventKind;

TEST(NoteLimit, LogsOneKindAboutOneMemberOnceASecond)
{
  NoteLimit limit;
  const ledger::ReplicaEvent denial{ ReplicaEventKind::kVoteDenied, "a", "x" };
  EXPECT_TRUE(limit.Admits(denial, 0));
  EXPECT_FALSE(limit.Admits(denial, kNoteIntervalMs - 1));
  EXPECT_TRUE(limit.Admits({ ReplicaEventKind::kVoteDenied, "b", "x" }, 1));
  EXPECT_TRUE(limit.Admits({ ReplicaEventKind::kTransferDone, "a", "x" }, 1));
  EXPECT_TRUE(limit.Admits(denial, kNoteIntervalMs));
}

TEST(NoteLimit, SetsTheMemberApart)
{
  EXPECT_EQ(TextOf({ ReplicaEventKind::kSteppedDown, "a/1", "x" }),
            "steps down a/1: x");
  EXPECT_EQ(TextOf({ ReplicaEventKind::kSteppedDown, "", "x" }),
            "steps down: x");
}

TEST(NoteLimit, SaysWhereALearnerStands)
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

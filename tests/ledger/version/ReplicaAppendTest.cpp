#include <gtest/gtest.h>

#include "SimulatedCluster.h"

namespace cactuswick::ledger {
namespace {

/// Shortest time in which a deployment requires a new replica to catch up.
constexpr SteadyMs kCatchUpMs = 4'000;

/// Runs the cluster until it has written snapshots, then replaces the follower
/// @p aNumber by an empty learner at the same address.
void
StartEmptyLearner(SimulatedCluster& aCluster, int aNumber)
{
  aCluster.Run(6'000);
  aCluster.Kill(aNumber);
  aCluster.Run(500);
  ASSERT_NE(aCluster.Leader(), nullptr);
  aCluster.StartWiped(aNumber);
  ASSERT_TRUE(aCluster.AddLearner(aNumber));
}

int
PickFollower(SimulatedCluster& aCluster)
{
  return aCluster.NumberOf(*aCluster.Leader()) == 4 ? 3 : 4;
}

TEST(ReplicaAppend, EmptyLearnerIsPromotedInTimeUnderLoad)
{
  // With the small chunks a transfer spans several snapshots of the leader.
  for (const int64_t chunk : { 16'384, 262'144 }) {
    for (const SteadyMs latency : { 1, 20, 40 }) {
      SimulatedCluster cluster({ .latencyMs_ = latency, .chunkBytes_ = chunk });
      cluster.Run(6'000);
      const int number = PickFollower(cluster);
      StartEmptyLearner(cluster, number);
      EXPECT_LT(cluster.RunUntil(2 * kCatchUpMs,
                                 [&] { return cluster.IsVoter(number); }),
                kCatchUpMs)
        << "latency " << latency << " chunk " << chunk;
    }
  }
}

TEST(ReplicaAppend, NewerSnapshotDoesNotCorruptTransfer)
{
  SimulatedCluster cluster({ .latencyMs_ = 40, .chunkBytes_ = 16'384 });
  cluster.Run(6'000);
  const int number = PickFollower(cluster);
  StartEmptyLearner(cluster, number);
  cluster.RunUntil(2 * kCatchUpMs, [&] { return cluster.IsVoter(number); });
  EXPECT_EQ(cluster.Nodes().at(number).damagedSnapshots_, 0);
  EXPECT_EQ(cluster.Nodes().at(number).installedSnapshots_, 1);
}

TEST(ReplicaAppend, UnannouncedNewerSnapshotIsSentWithItsOwnIndex)
{
  SimulatedCluster cluster({ .snapshotWriteMs_ = 400 });
  cluster.Run(6'000);
  const int number = PickFollower(cluster);
  StartEmptyLearner(cluster, number);
  cluster.RunUntil(2 * kCatchUpMs, [&] { return cluster.IsVoter(number); });
  EXPECT_EQ(cluster.Nodes().at(number).damagedSnapshots_, 0);
  EXPECT_EQ(cluster.Nodes().at(number).installedSnapshots_, 1);
}

TEST(ReplicaAppend, LearnerWithConstantLagIsPromoted)
{
  // 150 entries are in flight during a round trip of 300 ms, which is shorter
  // than the election timeout.
  SimulatedCluster cluster({ .latencyMs_ = 140, .entriesPerMs_ = 0.5 });
  cluster.Run(6'000);
  const int number = PickFollower(cluster);
  StartEmptyLearner(cluster, number);
  EXPECT_LT(
    cluster.RunUntil(2 * kCatchUpMs, [&] { return cluster.IsVoter(number); }),
    kCatchUpMs);
}

TEST(ReplicaAppend, DeadMemberDoesNotPreventCompaction)
{
  SimulatedCluster cluster;
  cluster.Run(6'000);
  const int number = PickFollower(cluster);
  cluster.Kill(number);
  cluster.Run(10'000);
  const auto& log = cluster.Leader()->replica_->Log();
  EXPECT_LT(log.LastIndex() - log.BaseIndex(), 1'000);
}

TEST(ReplicaAppend, SlowMemberRetainsBoundedLog)
{
  constexpr size_t kRetainedEntries = 500;
  SimulatedCluster cluster({ .snapshotBytes_ = 5'000'000,
                             .chunkBytes_ = 16'384,
                             .maxRetainedBytes_ = 256 * kRetainedEntries });
  cluster.Run(6'000);
  const int number = PickFollower(cluster);
  StartEmptyLearner(cluster, number);
  cluster.Run(6'000);
  EXPECT_FALSE(cluster.IsVoter(number));
  const auto& log = cluster.Leader()->replica_->Log();
  const SimulatedClusterOptions options;
  EXPECT_LE(log.LastIndex() - log.BaseIndex(),
            static_cast<Index>(kRetainedEntries) + options.keptEntries_ +
              options.snapshotIntervalEntries_ + 100);
}

ReplaceDeployment
LargeDeployment()
{
  ReplaceDeployment change{ .version_ = 1 };
  change.document_.bytes_.assign(size_t{ 300 } * 1'024, 'x');
  return change;
}

TEST(ReplicaAppend, LargeEntryOnSlowLinkKeepsLeader)
{
  // The document of 300 KB takes 3 s to transfer.
  SimulatedCluster cluster(
    { .size_ = 3, .linkBytesPerMs_ = 100, .entriesPerMs_ = 0.05 });
  cluster.Run(3'000);
  ASSERT_NE(cluster.Leader(), nullptr);
  Replica& leader = *cluster.Leader()->replica_;
  const Term term = leader.CurrentTerm();
  const Index large = *leader.Propose(LargeDeployment(), cluster.Now());
  EXPECT_LT(
    cluster.RunUntil(8'000, [&] { return cluster.Committed() >= large; }),
    4'000);
  EXPECT_EQ(leader.CurrentTerm(), term);
  EXPECT_EQ(leader.Role(), ReplicaRole::kLeader);
}

TEST(ReplicaAppend, FollowerCampaignsAfterLeaderBytesStop)
{
  Replica follower({ .id_ = "b" },
                   { .members_ = { { "a", "", "", true },
                                   { "b", "", "", true },
                                   { "c", "", "", true } } });
  follower.Receive(AppendRequest{ .from_ = "a", .term_ = 1 }, 100);
  SteadyMs now = 100;
  for (; now < 3'000; now += 100) {
    follower.LeaderBytesReceived(now);
    follower.Tick(now);
    ASSERT_EQ(follower.Role(), ReplicaRole::kFollower) << now;
  }
  const SteadyMs last = now - 100;
  for (; now <= last + ReplicaOptions{}.electionMaxMs_; now += 100) {
    follower.LeaderBytesReceived(last);
    follower.Tick(now);
  }
  EXPECT_EQ(follower.Role(), ReplicaRole::kPreCandidate);
}

TEST(ReplicaAppend, FollowerCampaignsWhenLeaderBytesTrickle)
{
  const ReplicaOptions options{ .id_ = "b" };
  Replica follower(options,
                   { .members_ = { { "a", "", "", true },
                                   { "b", "", "", true },
                                   { "c", "", "", true } } });
  follower.Receive(AppendRequest{ .from_ = "a", .term_ = 1 }, 100);
  const SteadyMs end = 100 + options.maxMessageMs_ + options.electionMaxMs_;
  for (SteadyMs now = 100; now <= end + 100; now += 100) {
    follower.LeaderBytesReceived(now);
    follower.Tick(now);
  }
  EXPECT_EQ(follower.Role(), ReplicaRole::kPreCandidate);
}

/// Returns a leader of term 4 whose log starts at entry 11 and ends at entry
/// 22; member d is a learner.
Replica
LeaderWithLogFromEntry11()
{
  ReplicaStart start{ .hardState_ = { 3, "" },
                      .snapshotIndex_ = 10,
                      .snapshotTerm_ = 2,
                      .members_ = { { "a", "", "", true },
                                    { "b", "", "", true },
                                    { "c", "", "", true },
                                    { "d", "", "", false } } };
  for (Index index = 11; index <= 21; ++index) {
    start.entries_.push_back({ index, index == 21 ? 3 : 2, 0, TopUp{} });
  }
  const SnapshotSource source{ .lastIndex_ = 10,
                               .lastTerm_ = 2,
                               .read_ = [](int64_t, int64_t) {
                                 return std::string("whole");
                               } };
  Replica leader(
    { .id_ = "a", .openSnapshot_ = [source] { return std::optional(source); } },
    std::move(start));
  leader.Tick(2'000);
  leader.Receive(
    VoteReply{ .from_ = "c", .term_ = 4, .granted_ = true, .preVote_ = true },
    2'000);
  leader.Receive(VoteReply{ .from_ = "c", .term_ = 4, .granted_ = true },
                 2'000);
  return leader;
}

bool
ContainsSnapshot(const std::vector<Envelope>& aSent)
{
  return std::any_of(aSent.begin(), aSent.end(), [](const auto& aEnvelope) {
    return std::holds_alternative<SnapshotChunk>(aEnvelope.message_);
  });
}

/// Returns whether the leader sends a snapshot after b refused an append back
/// to entry 1.
bool
SendsSnapshotAfterRefusal(Replica& aLeader, SteadyMs aNowMs)
{
  aLeader.Receive(AppendReply{ .from_ = "b", .term_ = 4, .index_ = 1 }, aNowMs);
  return ContainsSnapshot(aLeader.TakeEffects().sendNow_);
}

TEST(ReplicaAppend, NewLeaderSendsNoUnneededSnapshot)
{
  Replica leader = LeaderWithLogFromEntry11();
  EXPECT_FALSE(ContainsSnapshot(leader.TakeEffects().sendNow_));
  leader.Tick(2'000 + ReplicaOptions{}.heartbeatMs_);
  EXPECT_FALSE(ContainsSnapshot(leader.TakeEffects().sendNow_));
}

TEST(ReplicaAppend, UnreachableMemberGetsNoSnapshotOrEntries)
{
  Replica leader = LeaderWithLogFromEntry11();
  SteadyMs now = 2'000;
  for (; now < 6'000; now += 100) {
    leader.Tick(now);
    leader.Receive(
      AppendReply{ .from_ = "c", .term_ = 4, .success_ = true, .index_ = 22 },
      now);
    const auto sent = leader.TakeEffects().sendNow_;
    EXPECT_FALSE(ContainsSnapshot(sent)) << now;
  }
  for (int i = 0; i < 20; ++i) {
    leader.Propose(TopUp{}, now);
    const auto sent = leader.TakeEffects().sendNow_;
    EXPECT_FALSE(ContainsSnapshot(sent));
    EXPECT_EQ(sent.size(), 1U);
    EXPECT_EQ(sent.front().to_, "c");
  }
}

TEST(ReplicaAppend, VoterWithLateDivergenceGetsNoSnapshot)
{
  Replica leader = LeaderWithLogFromEntry11();
  ASSERT_EQ(leader.Role(), ReplicaRole::kLeader);
  leader.TakeEffects();
  EXPECT_FALSE(SendsSnapshotAfterRefusal(leader, 2'010));
  leader.Receive(
    AppendReply{ .from_ = "b", .term_ = 4, .success_ = true, .index_ = 20 },
    2'020);
  EXPECT_EQ(leader.MatchIndexOf("b"), 20);
}

TEST(ReplicaAppend, VoterWithoutLogStartGetsSnapshot)
{
  Replica leader = LeaderWithLogFromEntry11();
  leader.TakeEffects();
  EXPECT_FALSE(SendsSnapshotAfterRefusal(leader, 2'010));
  EXPECT_TRUE(SendsSnapshotAfterRefusal(leader, 2'900));
}

TEST(ReplicaAppend, ReplyToPartialMessageDoesNotDelaySnapshot)
{
  Replica leader = LeaderWithLogFromEntry11();
  leader.TakeEffects();
  EXPECT_FALSE(SendsSnapshotAfterRefusal(leader, 2'010));
  leader.Receive(
    AppendReply{ .from_ = "b", .term_ = 4, .success_ = true, .index_ = 3 },
    2'800);
  EXPECT_TRUE(SendsSnapshotAfterRefusal(leader, 2'900));
}

TEST(ReplicaAppend, TransferEndsWhenFinalReplyIsLost)
{
  Replica leader = LeaderWithLogFromEntry11();
  leader.TakeEffects();
  SendsSnapshotAfterRefusal(leader, 2'010);
  ASSERT_TRUE(SendsSnapshotAfterRefusal(leader, 2'900));
  // The follower has the snapshot and receives a heartbeat for an older entry.
  Replica follower({ .id_ = "b" }, {});
  follower.SnapshotInstalled({ .snapshotIndex_ = 12, .snapshotTerm_ = 2 });
  follower.Receive(
    AppendRequest{
      .from_ = "a", .term_ = 4, .previousIndex_ = 10, .previousTerm_ = 2 },
    2'950);
  for (const auto& answer : follower.TakeEffects().sendAfterSync_) {
    leader.Receive(answer.message_, 2'960);
  }
  EXPECT_EQ(leader.MatchIndexOf("b"), 12);
  EXPECT_EQ(leader.ProgressOf("b")->snapshotBytes_, -1);
}

void
Confirm(Replica& aLeader, const std::string& aFrom, Index aIndex, SteadyMs aMs)
{
  aLeader.Receive(
    AppendReply{
      .from_ = aFrom, .term_ = 4, .success_ = true, .index_ = aIndex },
    aMs);
}

TEST(ReplicaAppend, LearnerIsNotCaughtUpWhileLargeEntryIsInFlight)
{
  Replica leader = LeaderWithLogFromEntry11();
  leader.TakeEffects();
  Confirm(leader, "c", 22, 2'010);
  Confirm(leader, "d", 22, 2'010);
  ASSERT_TRUE(leader.IsCaughtUp("d"));
  leader.Propose(TopUp{}, 2'020);
  EXPECT_TRUE(leader.IsCaughtUp("d"));
  const Index large = *leader.Propose(LargeDeployment(), 2'020);
  EXPECT_FALSE(leader.IsCaughtUp("d"));
  Confirm(leader, "d", large, 2'400);
  EXPECT_TRUE(leader.IsCaughtUp("d"));
}

/// Counts the messages to @p aTo that append entries.
size_t
AppendsFor(const std::string& aTo, const std::vector<Envelope>& aSent)
{
  return static_cast<size_t>(
    std::count_if(aSent.begin(), aSent.end(), [&](const auto& aEnvelope) {
      const auto* append = std::get_if<AppendRequest>(&aEnvelope.message_);
      return append != nullptr && aEnvelope.to_ == aTo &&
             !append->entries_.empty();
    }));
}

TEST(ReplicaAppend, AppendInFlightIsNotResent)
{
  Replica leader = LeaderWithLogFromEntry11();
  leader.TakeEffects();
  Confirm(leader, "b", 22, 2'010);
  Confirm(leader, "c", 22, 2'010);
  leader.Propose(LargeDeployment(), 2'500);
  EXPECT_EQ(AppendsFor("b", leader.TakeEffects().sendNow_), 1U);
  for (SteadyMs now = 2'600; now < 4'500; now += 100) {
    leader.Tick(now);
    Confirm(leader, "b", 22, now);
    Confirm(leader, "c", 23, now);
    EXPECT_EQ(AppendsFor("b", leader.TakeEffects().sendNow_), 0U) << now;
  }
}

/// A refusal of b, which lacks the entries after 22.
AppendReply
RefusalOfRound(int64_t aRound)
{
  return { .from_ = "b", .term_ = 4, .index_ = 23, .round_ = aRound };
}

TEST(ReplicaAppend, RefusalsBeforeResendArrivesAreIgnored)
{
  Replica leader = LeaderWithLogFromEntry11();
  leader.TakeEffects();
  Confirm(leader, "b", 22, 2'010);
  Confirm(leader, "c", 22, 2'010);
  leader.Propose(LargeDeployment(), 2'020);
  leader.TakeEffects();
  for (const SteadyMs now : { 2'100, 2'200, 2'300 }) {
    leader.Tick(now);
    leader.TakeEffects();
  }
  // The link broke; b refused three heartbeats before the resend for the first
  // refusal arrived.
  leader.Receive(RefusalOfRound(1), 2'310);
  EXPECT_EQ(AppendsFor("b", leader.TakeEffects().sendNow_), 1U);
  leader.Receive(RefusalOfRound(2), 2'320);
  leader.Receive(RefusalOfRound(3), 2'330);
  EXPECT_EQ(AppendsFor("b", leader.TakeEffects().sendNow_), 0U);
  // The resent entries are lost again.
  leader.Tick(2'400);
  leader.TakeEffects();
  leader.Receive(RefusalOfRound(4), 2'410);
  EXPECT_EQ(AppendsFor("b", leader.TakeEffects().sendNow_), 1U);
}

size_t
ChunksIn(const std::vector<Envelope>& aSent)
{
  return static_cast<size_t>(
    std::count_if(aSent.begin(), aSent.end(), [](const auto& aEnvelope) {
      return std::holds_alternative<SnapshotChunk>(aEnvelope.message_);
    }));
}

TEST(ReplicaAppend, SnapshotChunkInFlightIsNotResent)
{
  Replica leader = LeaderWithLogFromEntry11();
  leader.TakeEffects();
  SendsSnapshotAfterRefusal(leader, 2'010);
  ASSERT_TRUE(SendsSnapshotAfterRefusal(leader, 2'900));
  // Replies to messages sent before the chunk do not acknowledge it.
  for (SteadyMs now = 3'000; now < 5'000; now += 100) {
    leader.Tick(now);
    Confirm(leader, "c", 22, now);
    leader.Receive(AppendReply{ .from_ = "b", .term_ = 4, .index_ = 1 }, now);
    EXPECT_EQ(ChunksIn(leader.TakeEffects().sendNow_), 0U) << now;
  }
  leader.Receive(
    AppendReply{ .from_ = "b", .term_ = 4, .index_ = 1, .round_ = 5 }, 5'000);
  EXPECT_EQ(ChunksIn(leader.TakeEffects().sendNow_), 1U);
}

TEST(ReplicaAppend, ResentLastChunkOfInstalledSnapshotIsConfirmed)
{
  Replica follower({ .id_ = "b" }, {});
  SnapshotChunk chunk{
    .from_ = "a", .term_ = 4, .lastIndex_ = 12, .lastTerm_ = 2, .offset_ = 0
  };
  chunk.bytes_.bytes_ = "first";
  follower.Receive(chunk, 10);
  chunk.offset_ = 5;
  chunk.done_ = true;
  follower.Receive(chunk, 20);
  ASSERT_TRUE(follower.TakeEffects().install_);
  follower.SnapshotInstalled({ .snapshotIndex_ = 12, .snapshotTerm_ = 2 });
  follower.Receive(chunk, 900);
  const auto answers = follower.TakeEffects().sendAfterSync_;
  ASSERT_EQ(answers.size(), 1U);
  const auto& reply = std::get<SnapshotReply>(answers[0].message_);
  EXPECT_TRUE(reply.done_);
  EXPECT_EQ(reply.offset_, 10);
}

} // namespace
} // namespace cactuswick::ledger

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "cactuswick/ledger/version/Replica.h"

#include <algorithm>
#include <map>
#include <memory>
#include <random>

#include "cactuswick/ledger/process/SnapshotFile.h"

namespace cactuswick::ledger {
namespace {

constexpr SteadyMs kStepMs = 20;

/// Persistent state of one replica: only synced frames survive a crash.
struct Disk
{
  HardState hardState_;
  std::vector<Entry> entries_;
};

/// Several replicas with simulated links and disks, in one thread.
class Cluster
{
public:
  explicit Cluster(int aSize, uint64_t aSeed = 1)
    : random_(aSeed)
  {
    for (int i = 0; i < aSize; ++i) {
      members_.push_back({ Id(i), "", "", true });
    }
    for (int i = 0; i < aSize; ++i) {
      Start(i);
    }
  }

  static std::string Id(int aNumber) { return "r" + std::to_string(aNumber); }

  void Start(int aNumber)
  {
    const Disk& disk = disks_[aNumber];
    replicas_[aNumber] = std::make_unique<Replica>(
      ReplicaOptions{ .id_ = Id(aNumber),
                      .seed_ = static_cast<uint64_t>(aNumber) + 1,
                      .openSnapshot_ = [this] { return snapshot_; } },
      ReplicaStart{ .hardState_ = disk.hardState_,
                    .members_ = members_,
                    .entries_ = disk.entries_ });
    replicas_[aNumber]->Tick(now_);
  }

  void Crash(int aNumber)
  {
    replicas_.erase(aNumber);
    unsynced_.erase(aNumber);
    checked_.erase(aNumber);
  }

  bool IsUp(int aNumber) const { return replicas_.contains(aNumber); }
  Replica& At(int aNumber) { return *replicas_.at(aNumber); }

  /// Advances time by one step: ticks, syncs and message deliveries.
  void Step(double aLoss = 0, double aSyncDelay = 0)
  {
    now_ += kStepMs;
    for (auto& [number, replica] : replicas_) {
      replica->Tick(now_);
      ApplyEffects(number);
    }
    for (auto& [number, replica] : replicas_) {
      if (!Chance(aSyncDelay)) {
        Sync(number);
      }
    }
    auto messages = std::exchange(messages_, {});
    std::shuffle(messages.begin(), messages.end(), random_);
    for (const auto& envelope : messages) {
      const int to = std::stoi(envelope.to_.substr(1));
      if (IsUp(to) && !Chance(aLoss) && !IsBlocked(envelope)) {
        At(to).Receive(envelope.message_, now_);
        ApplyEffects(to);
      }
    }
    CheckCommitted();
  }

  void Run(int aSteps)
  {
    for (int i = 0; i < aSteps; ++i) {
      Step();
    }
  }

  std::optional<int> Leader()
  {
    std::optional<int> leader;
    for (auto& [number, replica] : replicas_) {
      if (replica->CanServe() &&
          (!leader || replica->CurrentTerm() > At(*leader).CurrentTerm())) {
        leader = number;
      }
    }
    return leader;
  }

  void Propose(int aNumber, const std::string& aId)
  {
    At(aNumber).Propose(TopUp{ .id_ = aId }, now_);
    ApplyEffects(aNumber);
  }

  /// Starts an empty replica and adds it as a learner.
  void AddLearner(int aNumber)
  {
    auto members = At(*Leader()).Members();
    members.push_back({ Id(aNumber), "", "", false });
    ASSERT_TRUE(At(*Leader()).ProposeMembers(members, now_).ok());
    replicas_[aNumber] = std::make_unique<Replica>(
      ReplicaOptions{ .id_ = Id(aNumber), .seed_ = 9 }, ReplicaStart{});
    replicas_[aNumber]->Tick(now_);
  }

  /// Replaces the snapshot file and reports it to replica @p aNumber.
  void WriteSnapshot(int aNumber, Index aThrough)
  {
    snapshot_ =
      SnapshotSource{ .lastIndex_ = aThrough,
                      .lastTerm_ = At(aNumber).Log().TermAt(aThrough),
                      .read_ = [](int64_t aOffset, int64_t aBytes) {
                        const std::string whole = "a small snapshot";
                        return whole.substr(
                          std::min<size_t>(aOffset, whole.size()), aBytes);
                      } };
    At(aNumber).SnapshotWritten(aThrough, aThrough);
  }

  /// Drops all messages sent by @p aFrom, or all messages sent to @p aTo.
  void BlockFrom(const std::string& aFrom) { blockedFrom_.push_back(aFrom); }
  void BlockTo(const std::string& aTo) { blockedTo_.push_back(aTo); }
  void RestoreLinks()
  {
    blockedFrom_.clear();
    blockedTo_.clear();
  }

  /// Committed entries by index, as seen first at any replica.
  const std::map<Index, Entry>& Committed() const { return committed_; }
  bool Diverged() const { return diverged_; }
  SteadyMs Now() const { return now_; }

  Effects TakeObservedEffects(int aNumber)
  {
    return std::exchange(observedEffects_[aNumber], {});
  }

private:
  bool Chance(double aShare)
  {
    return std::uniform_real_distribution<double>(0, 1)(random_) < aShare;
  }

  bool IsBlocked(const Envelope& aEnvelope) const
  {
    const auto& from = std::visit(
      [](const auto& aOne) -> const std::string& { return aOne.from_; },
      aEnvelope.message_);
    return std::find(blockedFrom_.begin(), blockedFrom_.end(), from) !=
             blockedFrom_.end() ||
           std::find(blockedTo_.begin(), blockedTo_.end(), aEnvelope.to_) !=
             blockedTo_.end();
  }

  /// Takes the effects; entries and later messages wait for Sync().
  void ApplyEffects(int aNumber)
  {
    Effects effects = At(aNumber).TakeEffects();
    auto& observed = observedEffects_[aNumber];
    observed.readsReady_.insert(observed.readsReady_.end(),
                                effects.readsReady_.begin(),
                                effects.readsReady_.end());
    if (effects.install_) {
      observed.install_ = effects.install_;
    }
    messages_.insert(
      messages_.end(), effects.sendNow_.begin(), effects.sendNow_.end());
    unsynced_[aNumber].push_back({ std::move(effects),
                                   At(aNumber).Log().LastIndex(),
                                   At(aNumber).Log().LastTerm() });
  }

  void Sync(int aNumber)
  {
    for (auto& pending : std::exchange(unsynced_[aNumber], {})) {
      Disk& disk = disks_[aNumber];
      const Effects& effects = pending.effects_;
      disk.hardState_ = effects.hardState_.value_or(disk.hardState_);
      std::erase_if(disk.entries_, [&](const Entry& aEntry) {
        return effects.truncateFrom_ && aEntry.index_ >= *effects.truncateFrom_;
      });
      disk.entries_.insert(
        disk.entries_.end(), effects.persist_.begin(), effects.persist_.end());
      messages_.insert(messages_.end(),
                       effects.sendAfterSync_.begin(),
                       effects.sendAfterSync_.end());
      At(aNumber).Persisted(pending.lastIndex_, pending.lastTerm_);
    }
  }

  void CheckCommitted()
  {
    for (auto& [number, replica] : replicas_) {
      Index& checked = checked_[number];
      for (; checked < replica->CommitIndex(); ++checked) {
        const Entry& entry = replica->Log().At(checked + 1);
        const auto [at, fresh] = committed_.try_emplace(entry.index_, entry);
        diverged_ = diverged_ || at->second != entry;
      }
    }
  }

  struct Pending
  {
    Effects effects_;
    Index lastIndex_;
    Term lastTerm_;
  };

  SteadyMs now_ = 0;
  std::mt19937_64 random_;
  std::vector<Member> members_;
  std::optional<SnapshotSource> snapshot_;
  std::map<int, Disk> disks_;
  std::map<int, std::unique_ptr<Replica>> replicas_;
  std::map<int, std::vector<Pending>> unsynced_;
  std::map<int, Effects> observedEffects_;
  std::vector<Envelope> messages_;
  std::vector<std::string> blockedFrom_;
  std::vector<std::string> blockedTo_;
  std::map<Index, Entry> committed_;
  std::map<int, Index> checked_;
  bool diverged_ = false;
};

bool
HasCommitted(const Cluster& aCluster, const std::string& aId)
{
  return std::any_of(aCluster.Committed().begin(),
                     aCluster.Committed().end(),
                     [&](const auto& aPair) {
                       const auto* topUp =
                         std::get_if<TopUp>(&aPair.second.command_);
                       return topUp != nullptr && topUp->id_ == aId;
                     });
}

TEST(Replica, ElectsOneLeaderAndCommits)
{
  Cluster cluster(3);
  cluster.Run(100);
  const auto leader = cluster.Leader();
  ASSERT_TRUE(leader);
  cluster.Propose(*leader, "a");
  cluster.Run(10);
  EXPECT_TRUE(HasCommitted(cluster, "a"));
}

TEST(Replica, SingleReplicaBecomesLeader)
{
  Cluster cluster(1);
  cluster.Run(100);
  ASSERT_TRUE(cluster.Leader());
}

TEST(Replica, IsolatedLeaderNeitherCommitsNorServesReads)
{
  Cluster cluster(3);
  cluster.Run(100);
  const int old = *cluster.Leader();
  cluster.BlockFrom(Cluster::Id(old));
  cluster.BlockTo(Cluster::Id(old));
  cluster.TakeObservedEffects(old);
  cluster.Propose(old, "lost");
  cluster.At(old).RequestRead(7);
  cluster.Run(150);
  EXPECT_FALSE(HasCommitted(cluster, "lost"));
  EXPECT_TRUE(cluster.TakeObservedEffects(old).readsReady_.empty());
  EXPECT_NE(cluster.At(old).Role(), ReplicaRole::kLeader);
  const auto fresh = cluster.Leader();
  ASSERT_TRUE(fresh);
  cluster.Propose(*fresh, "kept");
  cluster.Run(10);
  cluster.RestoreLinks();
  cluster.Run(100);
  EXPECT_TRUE(HasCommitted(cluster, "kept"));
  EXPECT_FALSE(HasCommitted(cluster, "lost"));
  EXPECT_FALSE(cluster.Diverged());
}

TEST(Replica, LeaderWithoutQuorumStepsDown)
{
  Cluster cluster(3);
  cluster.Run(100);
  const int old = *cluster.Leader();
  cluster.BlockTo(Cluster::Id(old));
  cluster.Run(150);
  EXPECT_NE(cluster.At(old).Role(), ReplicaRole::kLeader);
  EXPECT_TRUE(cluster.Leader());
}

TEST(Replica, UnreachableFollowerDoesNotRaiseTheTerm)
{
  Cluster cluster(3);
  cluster.Run(100);
  const int leader = *cluster.Leader();
  const Term term = cluster.At(leader).CurrentTerm();
  cluster.BlockTo(Cluster::Id((leader + 1) % 3));
  cluster.Run(300);
  EXPECT_EQ(cluster.Leader(), leader);
  EXPECT_EQ(cluster.At(leader).CurrentTerm(), term);
}

TEST(Replica, ReadIsReadyAfterQuorumConfirms)
{
  Cluster cluster(3);
  cluster.Run(100);
  const int leader = *cluster.Leader();
  cluster.TakeObservedEffects(leader);
  ASSERT_TRUE(cluster.At(leader).RequestRead(5));
  cluster.Run(5);
  EXPECT_EQ(cluster.TakeObservedEffects(leader).readsReady_,
            std::vector<ReadId>{ 5 });
}

TEST(Replica, CaughtUpLearnerIsPromotedDespiteFrequentReads)
{
  Cluster cluster(3);
  cluster.Run(100);
  const int leader = *cluster.Leader();
  cluster.AddLearner(3);
  for (int step = 0; step < 100; ++step) {
    // Each read causes an additional heartbeat.
    cluster.At(leader).RequestRead(step);
    cluster.Step();
  }
  const auto& members = cluster.At(leader).Members();
  ASSERT_EQ(members.size(), 4U);
  EXPECT_TRUE(members[3].voter_);
}

TEST(Replica, LostFirstSnapshotChunkIsResent)
{
  Cluster cluster(3);
  cluster.Run(100);
  const int leader = *cluster.Leader();
  for (int i = 0; i < 20; ++i) {
    cluster.Propose(leader, std::to_string(i));
    cluster.Step();
  }
  cluster.Run(10);
  const Index through = cluster.At(leader).CommitIndex();
  cluster.WriteSnapshot(leader, through);
  cluster.BlockTo(Cluster::Id(3));
  cluster.AddLearner(3);
  cluster.Run(50);
  cluster.RestoreLinks();
  cluster.Run(100);
  const auto observed = cluster.TakeObservedEffects(3);
  ASSERT_TRUE(observed.install_);
  EXPECT_EQ(observed.install_->lastIndex_, through);
  EXPECT_EQ(observed.install_->bytes_, "a small snapshot");
}

TEST(Replica, CommittedEntrySurvivesLeaderCrash)
{
  Cluster cluster(3);
  cluster.Run(100);
  const int leader = *cluster.Leader();
  cluster.Propose(leader, "a");
  cluster.Run(10);
  ASSERT_TRUE(HasCommitted(cluster, "a"));
  cluster.Crash(leader);
  cluster.Run(150);
  const auto next = cluster.Leader();
  ASSERT_TRUE(next);
  bool found = false;
  const auto& log = cluster.At(*next).Log();
  for (const auto& entry : log.Slice(log.BaseIndex() + 1, 1'000)) {
    const auto* topUp = std::get_if<TopUp>(&entry.command_);
    found = found || (topUp != nullptr && topUp->id_ == "a");
  }
  EXPECT_TRUE(found);
}

RC_GTEST_PROP(ReplicaProperty,
              RandomFaultsNeverLoseOrReplaceCommittedEntries,
              ())
{
  const int size = *rc::gen::element(3, 5);
  Cluster cluster(size, *rc::gen::inRange<uint64_t>(1, 1'000'000));
  std::mt19937 random(*rc::gen::inRange<uint32_t>(1, 1'000'000));
  int proposals = 0;
  for (int step = 0; step < 600; ++step) {
    const int number = static_cast<int>(random() % size);
    switch (random() % 25) {
      case 0:
        if (cluster.IsUp(number)) {
          cluster.Crash(number);
        }
        break;
      case 1:
      case 2:
        if (!cluster.IsUp(number)) {
          cluster.Start(number);
        }
        break;
      case 3:
        cluster.BlockFrom(Cluster::Id(number));
        break;
      case 4:
        cluster.BlockTo(Cluster::Id(number));
        break;
      case 5:
      case 6:
        cluster.RestoreLinks();
        break;
      default:
        if (cluster.IsUp(number)) {
          cluster.Propose(number, std::to_string(++proposals));
        }
    }
    cluster.Step(0.1, 0.3);
    RC_ASSERT(!cluster.Diverged());
  }
  // After recovery the leader has every committed entry.
  cluster.RestoreLinks();
  for (int number = 0; number < size; ++number) {
    if (!cluster.IsUp(number)) {
      cluster.Start(number);
    }
  }
  cluster.Run(300);
  const auto leader = cluster.Leader();
  RC_ASSERT(leader);
  for (const auto& [index, entry] : cluster.Committed()) {
    RC_ASSERT(cluster.At(*leader).Log().At(index) == entry);
  }
}

} // namespace
} // namespace cactuswick::ledger

#include <gtest/gtest.h>

#include "ledger/version/SimulatedCluster.h"
#include "process/Membership.h"

namespace cactuswick::control {
namespace {

using ledger::SimulatedCluster;
using ledger::SteadyMs;

/// Shortest time that a deployment allows a new replica to catch up and become
/// a voter.
constexpr SteadyMs kCatchUpMs = 4'000;
/// Shortest limit of an acknowledgement: the remaining replicas must commit
/// again within it.
constexpr SteadyMs kAckMs = 4'000;

/// Five replicas that replace members automatically and tolerate the loss of
/// two.
class Fleet
{
public:
  Fleet()
  {
    cluster_.onTick_ = [this](SimulatedCluster::Node& aNode) {
      Of(aNode).OnTick(cluster_.Now());
    };
  }

  SimulatedCluster& Cluster() { return cluster_; }

  /// Restarts a follower with an empty disk before it counts as dead, and
  /// returns its number.
  int Wipe()
  {
    cluster_.Run(6'000);
    const int leader = cluster_.NumberOf(*cluster_.Leader());
    const int number = (leader + 1) % 5;
    cluster_.Kill(number);
    cluster_.Run(1'500);
    cluster_.StartWiped(number);
    return number;
  }

  /// Kills the leader and another replica, but not @p aSpared, and returns
  /// whether the rest commit entries in time.
  bool ToleratesTwoLosses(int aSpared)
  {
    const int leader = cluster_.NumberOf(*cluster_.Leader());
    int other = 0;
    while (other == leader || other == aSpared) {
      ++other;
    }
    // The leader is one of the two, unless it is the spared one.
    cluster_.Kill(leader == aSpared ? (other + 1) % 5 : leader);
    cluster_.Kill(other);
    const auto before = cluster_.Committed();
    cluster_.Run(kAckMs);
    return cluster_.Leader() != nullptr && cluster_.Committed() > before + 100;
  }

private:
  Membership& Of(SimulatedCluster::Node& aNode)
  {
    auto& membership = memberships_[aNode.self_.id_];
    if (!membership) {
      membership = std::make_unique<Membership>(MembershipOptions{
        .replica_ = *aNode.replica_,
        .self_ = aNode.self_,
        .wantedVoters_ = 5,
        .automatic_ = true,
        .seeds_ = { "0", "1", "2", "3", "4" },
        .sendJoinRequest_ =
          [this](const std::string& aAddress, const ledger::Member& aSelf) {
            const auto node = cluster_.Nodes().find(std::stoi(aAddress));
            if (node != cluster_.Nodes().end()) {
              Of(node->second)
                .On(transport::JoinRequest{ aSelf }, cluster_.Now());
            }
          },
        .send_ =
          [this](const std::string& aId,
                 const transport::PeerMessage& aMessage) {
            const auto& request = std::get<transport::JoinRequest>(aMessage);
            const auto node = cluster_.Nodes().find(std::stoi(aId));
            if (node != cluster_.Nodes().end()) {
              Of(node->second).On(request, cluster_.Now());
            }
          },
        .onCaughtUp_ = [](int64_t) {} });
    }
    return *membership;
  }

  SimulatedCluster cluster_{
    { .latencyMs_ = 40, .chunkBytes_ = 16'384, .autoPromote_ = false }
  };
  std::map<std::string, std::unique_ptr<Membership>> memberships_;
};

TEST(Membership, RejoinedWipedVoterRestoresToleranceOfTwoLosses)
{
  Fleet fleet;
  const int wiped = fleet.Wipe();
  fleet.Cluster().Run(kCatchUpMs);
  EXPECT_TRUE(fleet.Cluster().IsVoter(wiped));
  EXPECT_TRUE(fleet.ToleratesTwoLosses(wiped));
}

TEST(Membership, WipedVoterIsReplacedDespiteLeaderChanges)
{
  Fleet fleet;
  const int wiped = fleet.Wipe();
  auto& cluster = fleet.Cluster();
  cluster.Run(1'000);
  // It is a learner by now, and its join request expires while it is isolated.
  cluster.Isolate(wiped, cluster.Now() + 3'500);
  // Each leader is isolated before the time without contact after which a voter
  // counts as dead, so none can detect the dead voter by a timeout.
  const SteadyMs end = cluster.Now() + 3'500 + 3 * kCatchUpMs;
  while (cluster.Now() < end) {
    if (auto* leader = cluster.Leader()) {
      cluster.Isolate(cluster.NumberOf(*leader), cluster.Now() + 1'000);
    }
    cluster.Run(3'000);
  }
  cluster.RunUntil(kAckMs, [&] { return cluster.Leader() != nullptr; });
  ASSERT_NE(cluster.Leader(), nullptr);
  EXPECT_TRUE(cluster.IsVoter(wiped));
  EXPECT_TRUE(fleet.ToleratesTwoLosses(wiped));
}

} // namespace
} // namespace cactuswick::control

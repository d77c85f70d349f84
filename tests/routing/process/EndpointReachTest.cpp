#include "cactuswick/routing/process/EndpointReach.h"

#include <algorithm>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cactuswick::routing {
namespace {

using Addresses = std::vector<std::string>;

constexpr int64_t kConnectTimeoutMs = 700;
constexpr int64_t kTickMs = 50;

Addresses
Known(size_t aCount)
{
  Addresses known;
  for (size_t i = 0; i < aCount; ++i) {
    known.push_back("10.0.0." + std::to_string(i + 1) + ":80");
  }
  return known;
}

TEST(EndpointReach, OneUnreachableEndpointIsNoDoubt)
{
  EndpointReach reach;
  for (int i = 0; i < 10; ++i) {
    reach.OnConnectFailed("10.0.0.1:80", i);
  }
  EXPECT_FALSE(reach.IsInDoubt());
  EXPECT_TRUE(reach.TakeProbes(Known(9), 10).empty());
}

TEST(EndpointReach, OneConnectionClearsTheSuspicion)
{
  EndpointReach reach;
  reach.OnConnectFailed("10.0.0.1:80", 0);
  reach.OnConnectFailed("10.0.0.2:80", 1);
  EXPECT_TRUE(reach.IsInDoubt());
  EXPECT_FALSE(reach.IsCutOff());
  reach.OnConnected(2);
  EXPECT_FALSE(reach.IsInDoubt());
  reach.OnConnectFailed("10.0.0.3:80", 3);
  EXPECT_FALSE(reach.IsCutOff());
}

TEST(EndpointReach, ProbesOfOtherEndpointsDecide)
{
  EndpointReach reach;
  reach.OnConnectFailed("10.0.0.1:80", 0);
  reach.OnConnectFailed("10.0.0.2:80", 1);
  const Addresses probes = reach.TakeProbes(Known(9), 2);
  ASSERT_EQ(probes.size(), 3U);
  EXPECT_EQ(std::count(probes.begin(), probes.end(), "10.0.0.1:80"), 0);
  EXPECT_TRUE(reach.TakeProbes(Known(9), 3).empty());
  reach.OnProbeFailed(probes[0], kConnectTimeoutMs);
  reach.OnProbeFailed(probes[1], kConnectTimeoutMs);
  EXPECT_FALSE(reach.IsCutOff());
  reach.OnProbeFailed(probes[2], kConnectTimeoutMs);
  EXPECT_TRUE(reach.IsCutOff());
}

TEST(EndpointReach, EndpointsThatDieTogetherDoNotCutTheRouterOff)
{
  EndpointReach reach;
  for (const auto& address : Known(6)) {
    reach.OnConnectFailed(address, 0);
  }
  EXPECT_TRUE(reach.IsInDoubt());
  EXPECT_FALSE(reach.IsCutOff());
  const Addresses probes = reach.TakeProbes(Known(20), 0);
  reach.OnProbeFailed(probes[0], kConnectTimeoutMs);
  reach.OnConnected(kConnectTimeoutMs);
  reach.OnProbeFailed(probes[1], kConnectTimeoutMs);
  EXPECT_FALSE(reach.IsCutOff());
}

TEST(EndpointReach, SilenceAloneIsProbedAtIntervals)
{
  EndpointReach reach;
  reach.OnSilence(10'000);
  EXPECT_TRUE(reach.IsInDoubt());
  EXPECT_EQ(reach.TakeProbes(Known(9), 10'000).size(), 3U);
  reach.OnConnected(10'001);
  reach.OnSilence(10'002);
  EXPECT_FALSE(reach.IsInDoubt());
  reach.OnSilence(12'000);
  EXPECT_TRUE(reach.IsInDoubt());
}

TEST(EndpointReach, SuspicionWithoutResultEnds)
{
  EndpointReach reach;
  reach.OnSilence(10'000);
  reach.TakeProbes(Known(9), 10'000);
  reach.TakeProbes(Known(9), 13'001);
  EXPECT_FALSE(reach.IsInDoubt());
}

TEST(EndpointReach, ReturnsAfterTwoProbesInARow)
{
  EndpointReach reach;
  reach.OnSilence(10'000);
  for (const auto& probe : reach.TakeProbes(Known(9), 10'000)) {
    reach.OnProbeFailed(probe, 10'000);
  }
  ASSERT_TRUE(reach.IsCutOff());
  EXPECT_TRUE(reach.TakeProbes(Known(9), 10'249).empty());
  EXPECT_EQ(reach.TakeProbes(Known(9), 10'250).size(), 1U);
  reach.OnConnected(10'251);
  reach.OnProbeFailed("10.0.0.7:80", 10'500);
  reach.OnConnected(10'750);
  EXPECT_TRUE(reach.IsCutOff());
  reach.OnConnected(11'000);
  EXPECT_FALSE(reach.IsInDoubt());
}

TEST(EndpointReach, OldFailuresDoNotAddUp)
{
  EndpointReach reach;
  reach.OnConnectFailed("10.0.0.1:80", 0);
  reach.OnConnectFailed("10.0.0.2:80", 4'000);
  EXPECT_FALSE(reach.IsInDoubt());
}

TEST(EndpointReach, RouterThatKnowsOneEndpointIsNeverCutOff)
{
  EndpointReach reach;
  reach.OnSilence(10'000);
  EXPECT_TRUE(reach.TakeProbes(Known(1), 10'000).empty());
  EXPECT_FALSE(reach.IsCutOff());
}

TEST(EndpointReach, RouterThatKnowsTwoEndpointsProbesThem)
{
  EndpointReach reach;
  reach.OnConnectFailed("10.0.0.1:80", 0);
  reach.OnConnectFailed("10.0.0.2:80", 0);
  for (const auto& probe : reach.TakeProbes(Known(2), 0)) {
    reach.OnProbeFailed(probe, kConnectTimeoutMs);
  }
  EXPECT_TRUE(reach.IsCutOff());
}

/// A router that connects to random endpoints, of which some are dead, and may
/// be cut off from all.
struct World
{
  size_t endpoints_ = 0;
  size_t dead_ = 0;
  bool isCut_ = false;
  EndpointReach reach_;
  int64_t nowMs_ = 0;
  size_t next_ = 0;
  int cutOffTicks_ = 0;

  bool IsReached(const std::string& aAddress) const
  {
    const Addresses known = Known(endpoints_);
    const auto index = static_cast<size_t>(
      std::find(known.begin(), known.end(), aAddress) - known.begin());
    return !isCut_ && index >= dead_;
  }

  void Tick()
  {
    const Addresses known = Known(endpoints_);
    for (const auto& probe : reach_.TakeProbes(known, nowMs_)) {
      if (IsReached(probe)) {
        reach_.OnConnected(nowMs_);
      } else {
        reach_.OnProbeFailed(probe, nowMs_);
      }
    }
    const std::string& address = known[next_++ % known.size()];
    if (reach_.IsCutOff()) {
      ++cutOffTicks_;
    } else if (IsReached(address)) {
      reach_.OnConnected(nowMs_);
    } else {
      reach_.OnConnectFailed(address, nowMs_);
    }
    nowMs_ += kTickMs;
  }
};

RC_GTEST_PROP(EndpointReach, FollowsThePartitionWhateverEndpointsAreDead, ())
{
  constexpr int kTicks = 400;
  // Probing, or returning, takes a while.
  constexpr int kChangeTicks = 40;
  World world;
  world.endpoints_ = *rc::gen::inRange<size_t>(4, 40);
  // With up to a fifth of the endpoints dead, a router that is not cut off may
  // take itself for it for at most a tenth of the time.
  world.dead_ = *rc::gen::inRange<size_t>(0, world.endpoints_ / 5 + 1);
  const int phases = *rc::gen::inRange(1, 6);
  for (int phase = 0; phase < phases; ++phase) {
    world.isCut_ = phase % 2 == 1;
    for (int tick = 0; tick < kChangeTicks; ++tick) {
      world.Tick();
    }
    world.cutOffTicks_ = 0;
    for (int tick = 0; tick < kTicks; ++tick) {
      world.Tick();
    }
    if (world.isCut_) {
      RC_ASSERT(world.cutOffTicks_ == kTicks);
    } else {
      RC_ASSERT(world.cutOffTicks_ <= kTicks / 10);
    }
  }
}

RC_GTEST_PROP(EndpointReach, NoticesAPartitionWithHalfOfTheEndpointsDead, ())
{
  constexpr int kTicks = 400;
  World world;
  world.endpoints_ = *rc::gen::inRange<size_t>(4, 40);
  world.dead_ = *rc::gen::inRange<size_t>(0, world.endpoints_ / 2);
  const int phases = *rc::gen::inRange(1, 6);
  for (int phase = 0; phase < phases; ++phase) {
    world.isCut_ = phase % 2 == 1;
    for (int tick = 0; tick < kTicks; ++tick) {
      world.Tick();
    }
    const bool isCutOff = world.reach_.IsCutOff();
    RC_ASSERT(!world.isCut_ || isCutOff);
    if (world.dead_ == 0) {
      RC_ASSERT(world.isCut_ == isCutOff);
    }
  }
}

} // namespace
} // namespace cactuswick::routing

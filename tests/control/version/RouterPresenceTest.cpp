#include <gtest/gtest.h>

#include "version/RouterPresence.h"

namespace cactuswick::control {
namespace {

using Known = std::optional<std::set<ledger::Incarnation>>;

TEST(RouterPresence, TheLeadersWordCountsForAWhile)
{
  RouterPresence presence;
  EXPECT_EQ(presence.Connected({}, 1'000), Known{});
  presence.OnHeard({ 1, 2 }, 1'000);
  EXPECT_EQ(presence.Connected({}, 1'000 + kPresenceValidMs),
            Known({ { 1, 2 } }));
  EXPECT_EQ(presence.Connected({}, 1'001 + kPresenceValidMs), Known{});
}

TEST(RouterPresence, ANewLeaderKeepsToTheLastOnesWordAtFirst)
{
  RouterPresence presence;
  presence.OnHeard({ 1, 2 }, 1'000);
  presence.OnLeadership(true, 2'000);
  EXPECT_EQ(presence.Connected({ 3 }, 2'100), Known({ { 1, 2 } }));
  EXPECT_EQ(presence.Connected({ 3 }, 2'000 + kPresenceValidMs),
            Known({ { 3 } }));
}

TEST(RouterPresence, ANewLeaderDoesNotSpeakOfRoutersThatAreStillOnTheirWay)
{
  RouterPresence presence;
  presence.OnLeadership(true, 2'000);
  EXPECT_FALSE(presence.MaySpeak(2'100));
  EXPECT_TRUE(presence.MaySpeak(2'000 + kPresenceValidMs));
  presence.OnLeadership(false, 9'000);
  EXPECT_FALSE(presence.MaySpeak(20'000));
}

} // namespace
} // namespace cactuswick::control

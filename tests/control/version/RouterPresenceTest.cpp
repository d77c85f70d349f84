#include <gtest/gtest.h>

#include "version/RouterPresence.h"

namespace cactuswick::control {
namespace {

using Expected = std::optional<std::set<ledger::Incarnation>>;

TEST(RouterPresence, LeaderReportExpires)
{
  RouterPresence presence;
  EXPECT_EQ(presence.Connected({}, 1'000), Expected{});
  presence.OnLeaderReport({ 1, 2 }, 1'000);
  EXPECT_EQ(presence.Connected({}, 1'000 + kPresenceValidMs),
            Expected({ { 1, 2 } }));
  EXPECT_EQ(presence.Connected({}, 1'001 + kPresenceValidMs), Expected{});
}

TEST(RouterPresence, NewLeaderUsesPreviousReportAtFirst)
{
  RouterPresence presence;
  presence.OnLeaderReport({ 1, 2 }, 1'000);
  presence.OnLeadershipChange(true, 2'000);
  EXPECT_EQ(presence.Connected({ 3 }, 2'100), Expected({ { 1, 2 } }));
  EXPECT_EQ(presence.Connected({ 3 }, 2'000 + kPresenceValidMs),
            Expected({ { 3 } }));
}

TEST(RouterPresence, NewLeaderIsNotAuthoritativeWhileRoutersReconnect)
{
  RouterPresence presence;
  presence.OnLeadershipChange(true, 2'000);
  EXPECT_FALSE(presence.IsAuthoritative(2'100));
  EXPECT_TRUE(presence.IsAuthoritative(2'000 + kPresenceValidMs));
  presence.OnLeadershipChange(false, 9'000);
  EXPECT_FALSE(presence.IsAuthoritative(20'000));
}

} // namespace
} // namespace cactuswick::control

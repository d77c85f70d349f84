#include "cactuswick/routing/process/TunnelChoice.h"

#include <map>
#include <set>
#include <string>

#include <gtest/gtest.h>

namespace cactuswick::routing {
namespace {

constexpr int kDraws = 400;

TunnelChoice
ChoiceOfZoneA()
{
  TunnelChoice choice({ .failureDomain_ = "a", .region_ = "north" });
  choice.SetRouters({ { "a1", "a", "north" },
                      { "a2", "a", "north" },
                      { "b1", "b", "north" },
                      { "c1", "c", "north" },
                      { "d1", "d", "south" } });
  return choice;
}

TEST(TunnelChoice, AsksOtherFailureDomainsOfTheRegionFirst)
{
  TunnelChoice choice = ChoiceOfZoneA();
  std::set<std::string> chosen;
  for (int i = 0; i < kDraws; ++i) {
    chosen.insert(*choice.Choose({}, 0));
  }
  EXPECT_EQ(chosen, (std::set<std::string>{ "b1", "c1" }));
  EXPECT_EQ(*choice.Choose({ "b1" }, 0), "c1");
  choice.OnFailed("b1", 0);
  choice.OnFailed("c1", 0);
  EXPECT_EQ(*choice.Choose({ "a1" }, 0), "a2");
  EXPECT_EQ(*choice.Choose({ "a1", "a2" }, 0), "d1");
  EXPECT_EQ(choice.Choose({ "a1", "a2", "d1" }, 0), "b1");
  EXPECT_EQ(choice.Choose({ "a1", "a2", "b1", "c1", "d1" }, 0), std::nullopt);
}

TEST(TunnelChoice, FailedRouterIsAskedAgainLater)
{
  TunnelChoice choice({ .failureDomain_ = "a", .region_ = "north" });
  choice.SetRouters({ { "b1", "b", "north" }, { "c1", "c", "north" } });
  choice.OnFailed("b1", 0);
  // Requests that were under way together count once.
  choice.OnFailed("b1", 1);
  EXPECT_EQ(choice.Choose({}, 499), "c1");
  choice.OnFailed("c1", 500);
  EXPECT_EQ(choice.Choose({}, 500), "b1");
  choice.OnFailed("b1", 500);
  EXPECT_EQ(choice.Choose({}, 1'400), "c1");
  choice.OnFailed("c1", 1'400);
  EXPECT_EQ(choice.Choose({}, 1'500), "b1");
}

TEST(TunnelChoice, AsksTheRouterThatIsDueNextWhenAllHaveFailed)
{
  TunnelChoice choice({ .failureDomain_ = "a", .region_ = "north" });
  choice.SetRouters({ { "b1", "b", "north" }, { "c1", "c", "north" } });
  choice.OnFailed("c1", 0);
  choice.OnFailed("b1", 10);
  EXPECT_EQ(choice.Choose({}, 20), "c1");
  EXPECT_EQ(choice.Choose({ "c1" }, 20), "b1");
  EXPECT_EQ(choice.Choose({ "c1", "b1" }, 20), std::nullopt);
}

TEST(TunnelChoice, PrefersRoutersThatOpenTunnelsAndFindsMore)
{
  TunnelChoice choice({ .failureDomain_ = "a", .region_ = "north" });
  std::vector<TunnelRouter> routers;
  for (int i = 0; i < 20; ++i) {
    routers.push_back({ "b" + std::to_string(i), "b", "north" });
  }
  choice.SetRouters(routers);
  choice.OnOpened("b7", 0);
  std::map<std::string, int> counts;
  for (int i = 0; i < kDraws; ++i) {
    ++counts[*choice.Choose({}, 1)];
  }
  EXPECT_GT(counts["b7"], kDraws / 2);
  EXPECT_GT(counts.size(), 10U);
}

TEST(TunnelChoice, SpreadsTheLoad)
{
  TunnelChoice choice({ .failureDomain_ = "a", .region_ = "north" });
  std::vector<TunnelRouter> routers;
  for (int i = 0; i < 20; ++i) {
    routers.push_back({ "b" + std::to_string(i), "b", "north" });
  }
  choice.SetRouters(routers);
  for (const char* router : { "b1", "b2", "b3", "b4" }) {
    choice.OnOpened(router, 0);
  }
  std::map<std::string, int> counts;
  for (int i = 0; i < kDraws; ++i) {
    ++counts[*choice.Choose({}, 1)];
  }
  EXPECT_EQ(counts.size(), 4U);
  for (const auto& [router, count] : counts) {
    EXPECT_GT(count, kDraws / 8) << router;
  }
}

} // namespace
} // namespace cactuswick::routing

#include <gtest/gtest.h>

#include "version/DeploymentView.h"

namespace cactuswick::router {
namespace {

model::ForwardRoute
Route(const std::string& aName,
      const std::string& aHost,
      const std::string& aPrefix)
{
  return { .name_ = aName, .host_ = aHost, .pathPrefix_ = aPrefix };
}

TEST(DeploymentView, LongestPrefixOfHostWins)
{
  const DeploymentView view({ .routes_ = { Route("all", "h", "/"),
                                           Route("deep", "h", "/a/b/"),
                                           Route("flat", "h", "/a/"),
                                           Route("other", "g", "/a/b/c/") } });
  EXPECT_EQ(view.FindRoute("h", "/a/b/c/x")->name_, "deep");
  EXPECT_EQ(view.FindRoute("h", "/a/x")->name_, "flat");
  EXPECT_EQ(view.FindRoute("h", "/a")->name_, "all");
  EXPECT_EQ(view.FindRoute("g", "/a/"), nullptr);
  EXPECT_EQ(view.FindRoute("x", "/a/"), nullptr);
}

TEST(DeploymentView, FindsWorkspaceByAnyOfItsKeys)
{
  const DeploymentView view(
    { .services_ = { { .name_ = "s" } },
      .workspaces_ = { { .name_ = "w", .apiKeys_ = { "k1", "k2" } } } });
  EXPECT_EQ(view.FindWorkspaceByKey("k2")->name_, "w");
  EXPECT_EQ(view.FindWorkspaceByKey(""), nullptr);
  EXPECT_EQ(view.FindService("s")->name_, "s");
  EXPECT_EQ(view.FindService("t"), nullptr);
}

} // namespace
} // namespace cactuswick::router

#include <gtest/gtest.h>

#include "version/ConfigView.h"

namespace cactuswick::router {
namespace {

ledger::ConfigDelta
Delta(int64_t aRevision, int64_t aDeadlineMs, bool aDeleted = false)
{
  return { .revision_ = aRevision,
           .resources_ = {
             { model::Rank{ .name_ = "urgent", .deadlineMs_ = aDeadlineMs },
               aRevision,
               aRevision,
               aDeleted } } };
}

TEST(ConfigView, IgnoresOlderDelta)
{
  ConfigView view;
  view.Apply(Delta(5, 500));
  view.Apply(Delta(4, 400));
  EXPECT_EQ(view.Revision(), 5);
  EXPECT_EQ(view.Find<model::Rank>("urgent")->deadlineMs_, 500);
}

TEST(ConfigView, DeletionRemovesResource)
{
  ConfigView view;
  view.Apply(Delta(5, 500));
  view.Apply(Delta(6, 500, true));
  EXPECT_EQ(view.Find<model::Rank>("urgent"), nullptr);
}

TEST(ConfigView, FindsWorkspaceOnlyByItsKey)
{
  ConfigView view;
  const std::string hash(64, 'a');
  view.Apply(
    { .revision_ = 1,
      .resources_ = { { model::Workspace{ .name_ = "w" }, 1, 1, false },
                      { model::ApiKey{ "k", "w", hash }, 1, 1, false } } });
  ASSERT_NE(view.FindWorkspaceByKey(hash), nullptr);
  EXPECT_EQ(view.FindWorkspaceByKey(hash)->name_, "w");
  EXPECT_EQ(view.FindWorkspaceByKey(std::string(64, 'b')), nullptr);
}

TEST(ConfigView, DefaultRankIsLeastUrgent)
{
  ConfigView view;
  view.Apply(
    { .revision_ = 1,
      .resources_ = {
        { model::Rank{ .name_ = "late", .priority_ = 2 }, 1, 1, false },
        { model::Rank{ .name_ = "urgent", .priority_ = 0 }, 1, 1, false } } });
  EXPECT_EQ(view.FindRank("")->name_, "late");
  EXPECT_EQ(view.FindRank("none"), nullptr);
}

std::vector<ledger::Incarnation>
IncarnationsOf(const ConfigView& aView)
{
  std::vector<ledger::Incarnation> incarnations;
  for (const auto& router : aView.Routers()) {
    incarnations.push_back(router.incarnation_);
  }
  return incarnations;
}

using Incarnations = std::vector<ledger::Incarnation>;

TEST(ConfigView, RouterDeltaKeepsOtherRouters)
{
  ConfigView view;
  view.Apply({ .revision_ = 1,
               .routersChanged_ = true,
               .routers_ = { { .incarnation_ = 1 }, { .incarnation_ = 3 } } });
  view.Apply({ .revision_ = 2,
               .routersChanged_ = true,
               .routers_ = { { .incarnation_ = 2 },
                             { .incarnation_ = 3,
                               .state_ = ledger::RouterState::kDraining } } });
  EXPECT_EQ(IncarnationsOf(view), (Incarnations{ 1, 2, 3 }));
  EXPECT_EQ(view.Routers()[2].state_, ledger::RouterState::kDraining);
}

TEST(ConfigView, CountsServingRouters)
{
  ConfigView view;
  EXPECT_EQ(view.ServingRouters(), 0);
  view.Apply({ .revision_ = 1,
               .routersChanged_ = true,
               .routers_ = { { .incarnation_ = 1 },
                             { .incarnation_ = 2 },
                             { .incarnation_ = 3 } } });
  EXPECT_EQ(view.ServingRouters(), 3);
  view.Apply({ .revision_ = 2,
               .routersChanged_ = true,
               .routers_ = { { .incarnation_ = 2,
                               .state_ = ledger::RouterState::kDraining } } });
  EXPECT_EQ(view.ServingRouters(), 2);
  view.Apply({ .revision_ = 3,
               .routersChanged_ = true,
               .knownRouters_ = Incarnations{ 2, 3 } });
  EXPECT_EQ(view.ServingRouters(), 1);
  // An older delta is ignored.
  view.Apply({ .revision_ = 2,
               .routersChanged_ = true,
               .routers_ = { { .incarnation_ = 4 } } });
  EXPECT_EQ(view.ServingRouters(), 1);
}

TEST(ConfigView, RemovesRoutersUnknownToControl)
{
  ConfigView view;
  view.Apply({ .revision_ = 1,
               .routersChanged_ = true,
               .routers_ = { { .incarnation_ = 1 }, { .incarnation_ = 2 } } });
  view.Apply({ .revision_ = 2,
               .routersChanged_ = true,
               .routers_ = { { .incarnation_ = 3 } },
               .knownRouters_ = Incarnations{ 2, 3 } });
  EXPECT_EQ(IncarnationsOf(view), (Incarnations{ 2, 3 }));
}

} // namespace
} // namespace cactuswick::router

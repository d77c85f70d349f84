#include "cactuswick/routing/process/AdmittedVersions.h"

#include <utility>

#include <gtest/gtest.h>

#include "cactuswick/routing/process/EndpointTable.h"

namespace cactuswick::routing {
namespace {

constexpr int64_t kNowMs = 1'000;

model::Announcement
At(const std::string& aName, const std::string& aVersion)
{
  return { .endpoint_ = aName,
           .serves_ = { "s" },
           .address_ = aName + ":1",
           .slots_ = 4,
           .incarnation_ = 1,
           .sequence_ = 1,
           .leaseMs_ = 60'000,
           .softwareVersion_ = aVersion };
}

AdmittedVersions
Admitted(std::vector<std::string> aVersions)
{
  const std::vector<model::ServiceVersions> services{
    { "s", std::move(aVersions) }
  };
  return AdmittedVersions(services);
}

EndpointTable
TableOfTwoVersions()
{
  EndpointTable table({});
  table.ApplyAnnouncement(At("old", "1"), 0, kNowMs);
  table.ApplyAnnouncement(At("new", "2"), 0, kNowMs);
  return table;
}

TEST(AdmittedVersions, ServiceWithoutAnyIsNotRestricted)
{
  const AdmittedVersions admitted = Admitted({ "1" });
  EXPECT_TRUE(admitted.Admits("s", "1"));
  EXPECT_FALSE(admitted.Admits("s", "2"));
  EXPECT_TRUE(admitted.Admits("t", "2"));
  EXPECT_FALSE(admitted.Knows("t"));
  EXPECT_EQ(admitted.OnlyVersionOf("s"), "1");
  EXPECT_EQ(admitted.OnlyVersionOf("t"), std::nullopt);
}

TEST(AdmittedVersions, VersionThatIsNotAdmittedGetsNoRequests)
{
  EndpointTable table = TableOfTwoVersions();
  table.SetAdmittedVersions(Admitted({ "1" }), kNowMs);
  for (int i = 0; i < 4; ++i) {
    EXPECT_EQ(table.Acquire("s", 0, {}, kNowMs), "old");
  }
  EXPECT_EQ(table.Acquire("s", 0, {}, kNowMs), std::nullopt);
  EXPECT_FALSE(table.ServesAt({ "s", "2" }, kNowMs));
  table.SetAdmittedVersions(Admitted({ "1", "2" }), kNowMs);
  EXPECT_EQ(table.Acquire("s", 0, {}, kNowMs), std::nullopt);
  const int64_t opensMs = kNowMs + EndpointTable::kVersionOpensMs;
  table.Expire(opensMs - 1);
  EXPECT_EQ(table.Acquire("s", 0, {}, opensMs - 1), std::nullopt);
  table.Expire(opensMs);
  EXPECT_EQ(table.Acquire("s", 0, {}, opensMs), "new");
  EXPECT_TRUE(table.ServesAt({ "s", "2" }, opensMs));
}

TEST(AdmittedVersions, RequestOfAVersionIsPlacedThereOnly)
{
  EndpointTable table = TableOfTwoVersions();
  const PromptLoad prompt{ .uniqueTokens_ = 100 };
  for (int i = 0; i < 2; ++i) {
    EXPECT_EQ(table.Acquire("s", 0, {}, kNowMs, "2"), "new");
    const auto placed = table.AcquireForPrompt("s", prompt, {}, kNowMs, "2");
    ASSERT_TRUE(placed.has_value());
    EXPECT_EQ(placed->endpoint_, "new");
  }
  EXPECT_EQ(table.Acquire("s", 0, {}, kNowMs, "2"), std::nullopt);
  EXPECT_EQ(table.AcquireForPrompt("s", prompt, {}, kNowMs, "2"), std::nullopt);
  EXPECT_EQ(table.Acquire("s", 0, {}, kNowMs), "old");
}

TEST(AdmittedVersions, VersionStaysThroughARelayThatDropsIt)
{
  EndpointTable table({});
  table.ApplyAnnouncement(At("a", "1"), 0, kNowMs);
  model::Announcement relayed = At("a", "");
  relayed.sequence_ = 2;
  EXPECT_FALSE(table.ApplyAnnouncement(relayed, 0, kNowMs + 1));
  EXPECT_EQ(table.Find("a")->softwareVersion_, "1");
  relayed.incarnation_ = 2;
  EXPECT_TRUE(table.ApplyAnnouncement(relayed, 0, kNowMs + 2));
  EXPECT_EQ(table.Find("a")->softwareVersion_, "");
  EXPECT_EQ(table.VersionsOf("s"), (std::set<std::string>{ "", "1" }));
}

TEST(AdmittedVersions, VersionThatARelayDroppedFirstIsNoSecondVersion)
{
  EndpointTable table({});
  table.ApplyAnnouncement(At("a", ""), 0, kNowMs);
  table.ApplyAnnouncement(At("b", ""), 0, kNowMs);
  EXPECT_EQ(table.VersionsOf("s"), std::set<std::string>{ "" });
  model::Announcement known = At("a", "1");
  known.sequence_ = 2;
  table.ApplyAnnouncement(known, 0, kNowMs + 1);
  EXPECT_EQ(table.VersionsOf("s"), (std::set<std::string>{ "", "1" }));
  known.endpoint_ = "b";
  known.address_ = "b:1";
  table.ApplyAnnouncement(known, 0, kNowMs + 1);
  EXPECT_EQ(table.VersionsOf("s"), std::set<std::string>{ "1" });
}

} // namespace
} // namespace cactuswick::routing

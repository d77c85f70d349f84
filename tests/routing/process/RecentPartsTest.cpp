#include <gtest/gtest.h>

#include "cactuswick/model/process/Text.h"
#include "cactuswick/routing/process/RecentParts.h"

namespace cactuswick::routing {
namespace {

TEST(RecentParts, RemembersTheLastResponse)
{
  RecentParts parts;
  EXPECT_EQ(parts.Find("a"), std::nullopt);
  parts.Add("a", 5);
  parts.Add("a", 9);
  EXPECT_EQ(parts.Find("a"), 9);
}

TEST(RecentParts, ForgetsTheOldestOfManyParts)
{
  RecentParts parts;
  parts.Add("first", 1);
  for (size_t i = 0; i < 3 * RecentParts::kGenerationSize; ++i) {
    parts.Add(model::Concat("part", i), 2);
    ASSERT_LE(parts.Size(), 2 * RecentParts::kGenerationSize);
  }
  EXPECT_EQ(parts.Find("first"), std::nullopt);
}

} // namespace
} // namespace cactuswick::routing

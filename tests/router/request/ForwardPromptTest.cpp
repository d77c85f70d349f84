#include "request/ForwardPrompt.h"

#include <gtest/gtest.h>

namespace cactuswick::router {
namespace {

TEST(ForwardPrompt, NoPromptLoadWithoutGeneration)
{
  EXPECT_FALSE(PromptLoadOf({ .parts_ = { { "a", 10 } } }).has_value());
}

TEST(ForwardPrompt, LastPartIsNotShared)
{
  const auto prompt =
    PromptLoadOf({ .promptTokens_ = 100,
                   .parts_ = { { "a", 30 }, { "b", 20 }, { "c", 50 } } });
  ASSERT_TRUE(prompt.has_value());
  EXPECT_EQ(prompt->sharedTokens_, 50);
  EXPECT_EQ(prompt->uniqueTokens_, 50);
  EXPECT_NE(prompt->prefixHash_, 0U);
}

TEST(ForwardPrompt, SameFirstPartHasSamePrefixHash)
{
  const auto hash = [](const std::string& aFirst, const std::string& aLast) {
    return PromptLoadOf(
             { .promptTokens_ = 2, .parts_ = { { aFirst, 1 }, { aLast, 1 } } })
      ->prefixHash_;
  };
  EXPECT_EQ(hash("a", "x"), hash("a", "y"));
  EXPECT_NE(hash("a", "x"), hash("b", "x"));
}

TEST(ForwardPrompt, SinglePartPromptHasNoSharedPrefix)
{
  EXPECT_EQ(PromptLoadOf({ .promptTokens_ = 10, .parts_ = { { "a", 10 } } }),
            routing::PromptLoad{ .uniqueTokens_ = 10 });
}

TEST(ForwardPrompt, PartsLargerThanPromptGiveZeroUniqueTokens)
{
  const auto prompt = PromptLoadOf(
    { .promptTokens_ = 10, .parts_ = { { "a", 30 }, { "b", 1 } } });
  EXPECT_EQ(prompt->uniqueTokens_, 0);
}

} // namespace
} // namespace cactuswick::router

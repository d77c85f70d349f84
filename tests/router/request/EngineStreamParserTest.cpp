#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "request/EngineStreamParser.h"
#include "request/SmallPieces.h"

namespace cactuswick::router {
namespace {

constexpr std::string_view kToken =
  "data: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\n";
constexpr std::string_view kUsage =
  "data: {\"choices\":[],\"usage\":{\"total_tokens\":12}}\n\n";
constexpr std::string_view kClosing = "data: [DONE]\n\n";

TEST(EngineStreamParser, WithholdsClosingEvent)
{
  EngineStreamParser meter;
  EXPECT_EQ(meter.Feed(kToken), kToken);
  EXPECT_EQ(meter.Feed(kUsage), kUsage);
  EXPECT_FALSE(meter.IsComplete());
  EXPECT_EQ(meter.Feed(kClosing), "");
  EXPECT_TRUE(meter.IsComplete());
  EXPECT_EQ(meter.Usage(), 12);
  EXPECT_EQ(meter.ContentEvents(), 1);
}

TEST(EngineStreamParser, PartialEventIsIncomplete)
{
  EngineStreamParser meter;
  meter.Feed(kClosing);
  EXPECT_TRUE(meter.IsComplete());
  meter.Feed("data: {");
  EXPECT_FALSE(meter.IsComplete());
}

/// Without the limit an event that never ends would fill the memory.
TEST(EngineStreamParser, UnterminatedEventExceedsSizeLimit)
{
  EngineStreamParser meter;
  meter.Feed(kToken);
  meter.Feed(std::string(EngineStreamParser::kMaxEventBytes, 'a'));
  EXPECT_FALSE(meter.IsEventTooLarge());
  meter.Feed("a");
  EXPECT_TRUE(meter.IsEventTooLarge());
}

TEST(EngineStreamParser, ParsesSmallPiecesInLinearTime)
{
  ExpectLinearTimeForSmallPieces<EngineStreamParser>();
}

RC_GTEST_PROP(EngineStreamParserProperty, ResultIsIndependentOfChunking, ())
{
  std::string answer;
  const int tokens = *rc::gen::inRange(0, 10);
  for (int i = 0; i < tokens; ++i) {
    answer += kToken;
  }
  answer += kUsage;
  const std::string expected = answer;
  answer += kClosing;
  EngineStreamParser meter;
  std::string forwarded;
  size_t at = 0;
  while (at < answer.size()) {
    const auto size = *rc::gen::inRange<size_t>(1, 40);
    forwarded += meter.Feed(std::string_view(answer).substr(at, size));
    at += size;
  }
  RC_ASSERT(forwarded == expected);
  RC_ASSERT(meter.IsComplete());
  RC_ASSERT(meter.ContentEvents() == tokens);
}

RC_GTEST_PROP(EngineStreamParserProperty,
              AcceptsArbitraryBytes,
              (const std::string& aBytes))
{
  EngineStreamParser meter;
  meter.Feed(aBytes);
  meter.Feed("\n\n");
  RC_SUCCEED("accepted");
}

} // namespace
} // namespace cactuswick::router

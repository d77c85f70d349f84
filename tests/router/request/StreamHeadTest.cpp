#include <gtest/gtest.h>

#include "request/StreamHead.h"

namespace cactuswick::router {
namespace {

ForwardResponseHead
Head(int aStatus, transport::Headers aHeaders)
{
  return { .status_ = aStatus, .headers_ = std::move(aHeaders) };
}

TEST(StreamHead, AnotherStatusOrContentTypeDoesNotContinueAStream)
{
  const auto first = Head(200, { { "Content-Type", "text/event-stream" } });
  EXPECT_TRUE(IsSameForm(first, first));
  EXPECT_FALSE(
    IsSameForm(first, Head(200, { { "Content-Type", "application/json" } })));
  EXPECT_FALSE(
    IsSameForm(first, Head(206, { { "Content-Type", "text/event-stream" } })));
  EXPECT_FALSE(IsSameForm(first, Head(200, {})));
  EXPECT_FALSE(IsSameForm(Head(200, {}), first));
}

TEST(StreamHead, CaseAndParametersOfAContentTypeAndOtherHeadersMayDiffer)
{
  const auto first = Head(200, { { "Content-Type", "text/event-stream" } });
  EXPECT_TRUE(IsSameForm(
    first,
    Head(200,
         { { "X-Other", "s" },
           { "content-type", "Text/Event-Stream ;charset=utf-8" } })));
  EXPECT_TRUE(IsSameForm(Head(200, {}), Head(200, {})));
}

} // namespace
} // namespace cactuswick::router

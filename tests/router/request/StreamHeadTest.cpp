#include <gtest/gtest.h>

#include "request/StreamHead.h"

namespace cactuswick::router {
namespace {

ForwardResponseHead
Head(int aStatus, transport::Headers aHeaders)
{
  return { .status_ = aStatus, .headers_ = std::move(aHeaders) };
}

TEST(StreamHead, DifferentStatusOrContentTypeIsNotCompatible)
{
  const auto first = Head(200, { { "Content-Type", "text/event-stream" } });
  EXPECT_TRUE(HasSameStatusAndMediaType(first, first));
  EXPECT_FALSE(HasSameStatusAndMediaType(
    first, Head(200, { { "Content-Type", "application/json" } })));
  EXPECT_FALSE(HasSameStatusAndMediaType(
    first, Head(206, { { "Content-Type", "text/event-stream" } })));
  EXPECT_FALSE(HasSameStatusAndMediaType(first, Head(200, {})));
  EXPECT_FALSE(HasSameStatusAndMediaType(Head(200, {}), first));
}

TEST(StreamHead, IgnoresContentTypeCaseParametersAndOtherHeaders)
{
  const auto first = Head(200, { { "Content-Type", "text/event-stream" } });
  EXPECT_TRUE(HasSameStatusAndMediaType(
    first,
    Head(200,
         { { "X-Other", "s" },
           { "content-type", "Text/Event-Stream ;charset=utf-8" } })));
  EXPECT_TRUE(HasSameStatusAndMediaType(Head(200, {}), Head(200, {})));
}

} // namespace
} // namespace cactuswick::router

#include <gtest/gtest.h>

#include "request/AttemptEnd.h"

namespace cactuswick::router {
namespace {

AttemptEndInput
CompleteResponse(int aStatus)
{
  return { .framingComplete_ = true, .status_ = aStatus };
}

TEST(AttemptEnd, ClassifiesSingleResponseByFramingAndStatus)
{
  EXPECT_EQ(ClassifyAttemptEnd(CompleteResponse(200)), AttemptEnd::kComplete);
  EXPECT_EQ(ClassifyAttemptEnd(CompleteResponse(404)), AttemptEnd::kComplete);
  EXPECT_EQ(ClassifyAttemptEnd(CompleteResponse(500)),
            AttemptEnd::kServerError);
  EXPECT_EQ(ClassifyAttemptEnd(CompleteResponse(0)), AttemptEnd::kTruncated);
  EXPECT_EQ(ClassifyAttemptEnd({ .status_ = 200 }), AttemptEnd::kTruncated);
}

TEST(AttemptEnd, ErrorStatusCannotContinueStream)
{
  for (const int status : { 302, 400, 404, 429, 500, 503, 504 }) {
    AttemptEndInput input = CompleteResponse(status);
    input.continuesStream_ = true;
    EXPECT_EQ(ClassifyAttemptEnd(input), AttemptEnd::kCannotContinue) << status;
  }
  AttemptEndInput continuation = CompleteResponse(200);
  continuation.continuesStream_ = true;
  EXPECT_EQ(ClassifyAttemptEnd(continuation), AttemptEnd::kComplete);
}

TEST(AttemptEnd, RefusalIsNotRunWithAndWithoutStartedStream)
{
  for (const bool continues : { false, true }) {
    AttemptEndInput input = CompleteResponse(503);
    input.notRun_ = true;
    input.continuesStream_ = continues;
    EXPECT_EQ(ClassifyAttemptEnd(input), AttemptEnd::kNotRun);
  }
}

TEST(AttemptEnd, StreamClosedInsideEventIsTruncated)
{
  AttemptEndInput input = CompleteResponse(200);
  input.hasPartialEvent_ = true;
  EXPECT_EQ(ClassifyAttemptEnd(input), AttemptEnd::kComplete);
  input.endsByClose_ = true;
  EXPECT_EQ(ClassifyAttemptEnd(input), AttemptEnd::kTruncated);
}

TEST(AttemptEnd, StreamClosedBeforeItsFirstEventIsTruncated)
{
  AttemptEndInput input = CompleteResponse(200);
  input.hasNoNewEvent_ = true;
  EXPECT_EQ(ClassifyAttemptEnd(input), AttemptEnd::kComplete);
  input.endsByClose_ = true;
  EXPECT_EQ(ClassifyAttemptEnd(input), AttemptEnd::kTruncated);
  input.status_ = 404;
  EXPECT_EQ(ClassifyAttemptEnd(input), AttemptEnd::kComplete);
}

TEST(AttemptEnd, DifferentHeadCannotContinueStream)
{
  AttemptEndInput input = CompleteResponse(200);
  input.continuesStream_ = true;
  input.headDiffers_ = true;
  EXPECT_EQ(ClassifyAttemptEnd(input), AttemptEnd::kCannotContinue);
}

TEST(AttemptEnd, ContinuationEndingInsideEventIsTruncatedForAnyFraming)
{
  AttemptEndInput input = CompleteResponse(200);
  input.continuesStream_ = true;
  input.hasPartialEvent_ = true;
  for (const bool endsByClose : { false, true }) {
    input.endsByClose_ = endsByClose;
    EXPECT_EQ(ClassifyAttemptEnd(input), AttemptEnd::kTruncated) << endsByClose;
  }
}

TEST(AttemptEnd, ContinuationWithoutNewEventIsTruncated)
{
  AttemptEndInput input = CompleteResponse(200);
  input.hasNoNewEvent_ = true;
  EXPECT_EQ(ClassifyAttemptEnd(input), AttemptEnd::kComplete);
  input.continuesStream_ = true;
  EXPECT_EQ(ClassifyAttemptEnd(input), AttemptEnd::kTruncated);
}

} // namespace
} // namespace cactuswick::router

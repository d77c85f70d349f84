#include <gtest/gtest.h>

#include "request/AttemptEnd.h"

namespace cactuswick::router {
namespace {

AttemptEndInput
Whole(int aStatus)
{
  return { .framingComplete_ = true, .status_ = aStatus };
}

TEST(AttemptEnd, AnAnswerByItselfIsJudgedByFramingAndStatus)
{
  EXPECT_EQ(ClassifyAttemptEnd(Whole(200)), AttemptEnd::kComplete);
  EXPECT_EQ(ClassifyAttemptEnd(Whole(404)), AttemptEnd::kComplete);
  EXPECT_EQ(ClassifyAttemptEnd(Whole(500)), AttemptEnd::kServerError);
  EXPECT_EQ(ClassifyAttemptEnd(Whole(0)), AttemptEnd::kTruncated);
  EXPECT_EQ(ClassifyAttemptEnd({ .status_ = 200 }), AttemptEnd::kTruncated);
}

TEST(AttemptEnd, AFailureIsNoEndOfAStreamThatHasBegun)
{
  for (const int status : { 302, 400, 404, 429, 500, 503, 504 }) {
    AttemptEndInput input = Whole(status);
    input.continuesStream_ = true;
    EXPECT_EQ(ClassifyAttemptEnd(input), AttemptEnd::kCannotContinue) << status;
  }
  AttemptEndInput rest = Whole(200);
  rest.continuesStream_ = true;
  EXPECT_EQ(ClassifyAttemptEnd(rest), AttemptEnd::kComplete);
}

TEST(AttemptEnd, ARefusalIsOneWhetherTheStreamHasBegunOrNot)
{
  for (const bool continues : { false, true }) {
    AttemptEndInput input = Whole(503);
    input.notRun_ = true;
    input.continuesStream_ = continues;
    EXPECT_EQ(ClassifyAttemptEnd(input), AttemptEnd::kNotRun);
  }
}

TEST(AttemptEnd, AStreamThatIsClosedInsideAnEventIsCut)
{
  AttemptEndInput input = Whole(200);
  input.hasPartialEvent_ = true;
  EXPECT_EQ(ClassifyAttemptEnd(input), AttemptEnd::kComplete);
  input.endsByClose_ = true;
  EXPECT_EQ(ClassifyAttemptEnd(input), AttemptEnd::kTruncated);
}

TEST(AttemptEnd, AnAnswerOfAnotherFormDoesNotContinueAStream)
{
  AttemptEndInput input = Whole(200);
  input.continuesStream_ = true;
  input.headDiffers_ = true;
  EXPECT_EQ(ClassifyAttemptEnd(input), AttemptEnd::kCannotContinue);
}

TEST(AttemptEnd, AContinuationThatEndsInsideAnEventIsCutWhateverItsFraming)
{
  AttemptEndInput input = Whole(200);
  input.continuesStream_ = true;
  input.hasPartialEvent_ = true;
  for (const bool endsByClose : { false, true }) {
    input.endsByClose_ = endsByClose;
    EXPECT_EQ(ClassifyAttemptEnd(input), AttemptEnd::kTruncated) << endsByClose;
  }
}

TEST(AttemptEnd, AContinuationWithoutAnyEventIsCut)
{
  AttemptEndInput input = Whole(200);
  input.hasNoNewEvent_ = true;
  EXPECT_EQ(ClassifyAttemptEnd(input), AttemptEnd::kComplete);
  input.continuesStream_ = true;
  EXPECT_EQ(ClassifyAttemptEnd(input), AttemptEnd::kTruncated);
}

} // namespace
} // namespace cactuswick::router

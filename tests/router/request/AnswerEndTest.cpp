#include <gtest/gtest.h>

#include "request/AnswerEnd.h"

namespace cactuswick::router {
namespace {

AnswerEndInput
Whole(int aStatus)
{
  return { .framingIsWhole_ = true, .status_ = aStatus };
}

TEST(AnswerEnd, AnAnswerByItselfIsJudgedByFramingAndStatus)
{
  EXPECT_EQ(EndOfAnswer(Whole(200)), AnswerEnd::kWhole);
  EXPECT_EQ(EndOfAnswer(Whole(404)), AnswerEnd::kWhole);
  EXPECT_EQ(EndOfAnswer(Whole(500)), AnswerEnd::kServerError);
  EXPECT_EQ(EndOfAnswer(Whole(0)), AnswerEnd::kCut);
  EXPECT_EQ(EndOfAnswer({ .status_ = 200 }), AnswerEnd::kCut);
}

TEST(AnswerEnd, AFailureIsNoEndOfAStreamThatHasBegun)
{
  for (const int status : { 302, 400, 404, 429, 500, 503, 504 }) {
    AnswerEndInput input = Whole(status);
    input.continuesStream_ = true;
    EXPECT_EQ(EndOfAnswer(input), AnswerEnd::kCannotFollow) << status;
  }
  AnswerEndInput rest = Whole(200);
  rest.continuesStream_ = true;
  EXPECT_EQ(EndOfAnswer(rest), AnswerEnd::kWhole);
}

TEST(AnswerEnd, ARefusalIsOneWhetherTheStreamHasBegunOrNot)
{
  for (const bool continues : { false, true }) {
    AnswerEndInput input = Whole(503);
    input.notRun_ = true;
    input.continuesStream_ = continues;
    EXPECT_EQ(EndOfAnswer(input), AnswerEnd::kNotRun);
  }
}

TEST(AnswerEnd, AStreamThatIsClosedInsideAnEventIsCut)
{
  AnswerEndInput input = Whole(200);
  input.hasHalfEvent_ = true;
  EXPECT_EQ(EndOfAnswer(input), AnswerEnd::kWhole);
  input.endsByClose_ = true;
  EXPECT_EQ(EndOfAnswer(input), AnswerEnd::kCut);
}

TEST(AnswerEnd, AnAnswerOfAnotherFormDoesNotContinueAStream)
{
  AnswerEndInput input = Whole(200);
  input.continuesStream_ = true;
  input.headDiffers_ = true;
  EXPECT_EQ(EndOfAnswer(input), AnswerEnd::kCannotFollow);
}

TEST(AnswerEnd, AContinuationThatEndsInsideAnEventIsCutWhateverItsFraming)
{
  AnswerEndInput input = Whole(200);
  input.continuesStream_ = true;
  input.hasHalfEvent_ = true;
  for (const bool endsByClose : { false, true }) {
    input.endsByClose_ = endsByClose;
    EXPECT_EQ(EndOfAnswer(input), AnswerEnd::kCut) << endsByClose;
  }
}

TEST(AnswerEnd, AContinuationWithoutAnyEventIsCut)
{
  AnswerEndInput input = Whole(200);
  input.bringsNoEvent_ = true;
  EXPECT_EQ(EndOfAnswer(input), AnswerEnd::kWhole);
  input.continuesStream_ = true;
  EXPECT_EQ(EndOfAnswer(input), AnswerEnd::kCut);
}

} // namespace
} // namespace cactuswick::router

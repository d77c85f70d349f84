#include "process/StreamDirectory.h"

#include <string>

#include <gtest/gtest.h>

namespace cactuswick::control {
namespace {

constexpr ledger::Incarnation kRouter = 7;
constexpr int64_t kKeptMs = 100;
const model::StreamOrigin kOld{ "s", "1" };
const model::StreamOrigin kNew{ "s", "2" };

transport::Gossip
Report(const model::StreamOrigin& aOrigin,
       std::vector<model::StreamKey> aStreams,
       ledger::Incarnation aFrom = kRouter)
{
  return { .from_ = aFrom,
           .streams_ = transport::StreamGossip{
             .began_ = { { aOrigin, std::move(aStreams) } } } };
}

transport::Gossip
Question(std::vector<model::StreamKey> aStreams)
{
  return { .from_ = kRouter,
           .streams_ =
             transport::StreamGossip{ .sought_ = std::move(aStreams) } };
}

class StreamDirectoryTest : public testing::Test
{
protected:
  StreamDirectoryTest()
    : directory_(
        { .keptMs_ = kKeptMs,
          .maxStreams_ = 3,
          .sendToReplicas_ = [this](const transport::PeerMessage& aMessage) {
            passedOn_.push_back(std::get<transport::Gossip>(aMessage));
          } })
  {
  }

  std::vector<transport::Gossip> passedOn_;
  StreamDirectory directory_;
};

TEST_F(StreamDirectoryTest, AnswersWithOriginsAndNamesTheUnknown)
{
  EXPECT_EQ(directory_.OnGossip(Report(kOld, { 1, 2 }), 0), std::nullopt);
  directory_.OnGossip(Report(kNew, { 3 }), 0);
  const auto answer = directory_.OnGossip(Question({ 1, 3, 4 }), 1);
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(
    answer->began_,
    (std::vector<model::StreamGroup>{ { kOld, { 1 } }, { kNew, { 3 } } }));
  EXPECT_EQ(answer->unknown_, std::vector<model::StreamKey>{ 4 });
}

TEST_F(StreamDirectoryTest, OnlyReportsOfRoutersArePassedOn)
{
  directory_.OnGossip(Report(kOld, { 1 }), 0);
  directory_.OnGossip(Report(kNew, { 2 }, 0), 0);
  directory_.OnTick(1);
  ASSERT_EQ(passedOn_.size(), 1U);
  EXPECT_EQ(passedOn_.front(), Report(kOld, { 1 }, 0));
  directory_.OnTick(2);
  EXPECT_EQ(passedOn_.size(), 1U);
}

TEST_F(StreamDirectoryTest, StreamOfTwoOriginsIsUnknown)
{
  directory_.OnGossip(Report(kOld, { 1 }), 0);
  directory_.OnGossip(Report(kNew, { 1 }), 0);
  directory_.OnGossip(Report(kNew, { 1 }), 0);
  EXPECT_EQ(directory_.OnGossip(Question({ 1 }), 1)->unknown_,
            std::vector<model::StreamKey>{ 1 });
}

TEST_F(StreamDirectoryTest, StreamIsKeptFromItsLastReportOn)
{
  directory_.OnGossip(Report(kOld, { 1, 2 }), 0);
  directory_.OnGossip(Report(kOld, { 1 }), kKeptMs);
  directory_.OnTick(kKeptMs + 1);
  EXPECT_EQ(directory_.Size(), 1U);
  EXPECT_TRUE(directory_.OnGossip(Question({ 1 }), 1)->unknown_.empty());
}

TEST_F(StreamDirectoryTest, TheOldestGiveWay)
{
  directory_.OnGossip(Report(kOld, { 1, 2, 3, 4 }), 0);
  directory_.OnTick(1);
  EXPECT_EQ(directory_.Size(), 3U);
  EXPECT_EQ(directory_.OnGossip(Question({ 1 }), 1)->unknown_,
            std::vector<model::StreamKey>{ 1 });
}

TEST_F(StreamDirectoryTest, ReportThatComesAgainTakesNoPlaceOfOthers)
{
  directory_.OnGossip(Report(kOld, { 1, 2 }), 0);
  directory_.OnGossip(Report(kOld, { 1, 2 }), 1);
  directory_.OnTick(1);
  EXPECT_EQ(directory_.Size(), 2U);
  EXPECT_TRUE(directory_.OnGossip(Question({ 1, 2 }), 1)->unknown_.empty());
}

TEST_F(StreamDirectoryTest, OriginsAreForgottenWithTheirStreams)
{
  constexpr int64_t kManyOrigins = 5'000;
  for (int64_t i = 0; i < kManyOrigins; ++i) {
    const int64_t now = i * (kKeptMs + 1);
    directory_.OnTick(now);
    directory_.OnGossip(Report({ "s", std::to_string(i) }, { i }), now);
    ASSERT_EQ(directory_.OnGossip(Question({ i }), now)->began_.size(), 1U);
  }
}

TEST_F(StreamDirectoryTest, OtherGossipIsIgnored)
{
  EXPECT_EQ(directory_.OnGossip({ .from_ = kRouter }, 0), std::nullopt);
  EXPECT_EQ(directory_.Size(), 0U);
}

} // namespace
} // namespace cactuswick::control

#include "process/StreamOrigins.h"

#include <gtest/gtest.h>

namespace cactuswick::router {
namespace {

constexpr ledger::Incarnation kSelf = 7;
constexpr int64_t kTimeoutMs = 1'000;
constexpr int64_t kAskAgainMs = 150;
constexpr model::StreamKey kStream = 1;
const model::StreamOrigin kOld{ "s", "1" };
const model::StreamOrigin kNew{ "s", "2" };
const StreamQuery kQuery{ .stream_ = kStream,
                          .service_ = "s",
                          .services_ = { "s" } };

class StreamOriginsTest : public testing::Test
{
protected:
  StreamOriginsTest()
    : table_({})
    , origins_({ .timeoutMs_ = kTimeoutMs,
                 .endpoints_ = table_,
                 .isInContact_ = [this] { return isInContact_; },
                 .self_ = [] { return kSelf; },
                 .send_ =
                   [this](const transport::PeerMessage& aMessage) {
                     sent_.push_back(
                       *std::get<transport::Gossip>(aMessage).streams_);
                   } })
  {
  }

  void Admit(std::vector<std::string> aVersions)
  {
    const std::vector<model::ServiceVersions> services{
      { "s", std::move(aVersions) }
    };
    table_.SetAdmittedVersions(routing::AdmittedVersions(services), 0);
  }

  void Find(const StreamQuery& aQuery)
  {
    origins_.Find(
      1,
      aQuery,
      [this](std::optional<model::StreamOrigin> aOrigin) {
        ++replies_;
        found_ = std::move(aOrigin);
      },
      0);
  }

  void Receive(transport::StreamGossip aGossip)
  {
    origins_.OnGossip({ .streams_ = std::move(aGossip) });
  }

  routing::EndpointTable table_;
  std::vector<transport::StreamGossip> sent_;
  StreamOrigins origins_;
  bool isInContact_ = true;
  int replies_ = 0;
  std::optional<model::StreamOrigin> found_;
};

TEST_F(StreamOriginsTest, OnlyAdmittedVersionNeedsNoQuestionAndNoReport)
{
  Admit({ "1" });
  Find(kQuery);
  EXPECT_EQ(found_, kOld);
  origins_.OnBegan(kStream, kOld, 0);
  origins_.OnTick(1);
  EXPECT_TRUE(sent_.empty());
}

TEST_F(StreamOriginsTest, OutOfContactTheOnlyKnownVersionMayNotBeTheOnlyOne)
{
  Admit({ "1" });
  isInContact_ = false;
  Find(kQuery);
  EXPECT_EQ(replies_, 0);
  origins_.OnTick(kTimeoutMs);
  EXPECT_EQ(replies_, 1);
  EXPECT_EQ(found_, std::nullopt);
  origins_.OnBegan(kStream, kOld, 0);
  Find(kQuery);
  EXPECT_EQ(found_, kOld);
}

TEST_F(StreamOriginsTest, ReplyOfTheLeaderMakesTheOnlyVersionCountAgain)
{
  Admit({ "1" });
  isInContact_ = false;
  Find(kQuery);
  isInContact_ = true;
  Receive({ .unknown_ = { kStream } });
  EXPECT_EQ(replies_, 1);
  EXPECT_EQ(found_, kOld);
}

TEST_F(StreamOriginsTest, OwnStreamIsKnownAmongSeveralVersions)
{
  Admit({ "1", "2" });
  origins_.OnBegan(kStream, kOld, 0);
  Find(kQuery);
  EXPECT_EQ(found_, kOld);
  EXPECT_TRUE(sent_.empty());
}

TEST_F(StreamOriginsTest, StreamsAreReportedAmongSeveralVersions)
{
  Admit({ "1", "2" });
  origins_.OnBegan(kStream, kOld, 0);
  origins_.OnBegan(2, kNew, 0);
  origins_.OnTick(1);
  ASSERT_EQ(sent_.size(), 1U);
  EXPECT_EQ(sent_.front().began_,
            (std::vector<model::StreamGroup>{ { kOld, { kStream } },
                                              { kNew, { 2 } } }));
}

TEST_F(StreamOriginsTest, StreamsUnderWayAreReportedWhenASecondVersionComes)
{
  Admit({ "1" });
  origins_.OnBegan(kStream, kOld, 0);
  Admit({ "1", "2" });
  origins_.ReportAll();
  origins_.OnTick(1);
  ASSERT_EQ(sent_.size(), 1U);
  EXPECT_EQ(sent_.front().began_.front(),
            (model::StreamGroup{ kOld, { kStream } }));
}

TEST_F(StreamOriginsTest, StreamOfAnotherRouterIsAskedFor)
{
  Admit({ "1", "2" });
  Find(kQuery);
  EXPECT_EQ(replies_, 0);
  ASSERT_EQ(sent_.size(), 1U);
  EXPECT_EQ(sent_.front().sought_, std::vector<model::StreamKey>{ kStream });
  Receive({ .began_ = { { kNew, { kStream } } } });
  EXPECT_EQ(found_, kNew);
  Receive({ .began_ = { { kNew, { kStream } } } });
  EXPECT_EQ(replies_, 1);
}

TEST_F(StreamOriginsTest, UnknownStreamIsAskedForOnceMore)
{
  Admit({ "1", "2" });
  Find(kQuery);
  Receive({ .unknown_ = { kStream } });
  EXPECT_EQ(replies_, 0);
  origins_.OnTick(kAskAgainMs);
  EXPECT_EQ(sent_.size(), 2U);
  Receive({ .unknown_ = { kStream } });
  EXPECT_EQ(replies_, 1);
  EXPECT_EQ(found_, std::nullopt);
}

TEST_F(StreamOriginsTest, QuestionWithoutReplyIsGivenUp)
{
  Admit({ "1", "2" });
  Find(kQuery);
  origins_.OnTick(kTimeoutMs - 1);
  EXPECT_EQ(replies_, 0);
  origins_.OnTick(kTimeoutMs);
  EXPECT_EQ(replies_, 1);
  EXPECT_EQ(found_, std::nullopt);
}

TEST_F(StreamOriginsTest, CancelledQuestionGetsNoReply)
{
  Admit({ "1", "2" });
  Find(kQuery);
  origins_.Cancel(1);
  Receive({ .began_ = { { kNew, { kStream } } } });
  origins_.OnTick(kTimeoutMs);
  EXPECT_EQ(replies_, 0);
}

TEST_F(StreamOriginsTest, StreamThatNamesNoRequestIsUnknownAmongSeveral)
{
  Admit({ "1", "2" });
  Find({ .service_ = "s", .services_ = { "s" } });
  EXPECT_EQ(replies_, 1);
  EXPECT_EQ(found_, std::nullopt);
  Admit({ "2" });
  Find({ .service_ = "s", .services_ = { "s" } });
  EXPECT_EQ(found_, kNew);
}

TEST_F(StreamOriginsTest, IdOfStreamsAtTwoVersionsIsUnknown)
{
  Admit({ "1", "2" });
  origins_.OnBegan(kStream, kOld, 0);
  origins_.OnBegan(kStream, kNew, 0);
  Find(kQuery);
  EXPECT_EQ(replies_, 0);
}

TEST_F(StreamOriginsTest, NewLeaderHearsOfBothVersionsOfOneId)
{
  Admit({ "1", "2" });
  origins_.OnBegan(kStream, kOld, 0);
  origins_.OnBegan(kStream, kNew, 0);
  origins_.OnTick(1);
  origins_.ReportAll();
  origins_.OnTick(2);
  ASSERT_EQ(sent_.size(), 2U);
  EXPECT_EQ(sent_.back().began_, sent_.front().began_);
  EXPECT_EQ(sent_.back().began_.size(), 2U);
}

TEST_F(StreamOriginsTest, NewLeaderHearsOfStreamsAgain)
{
  Admit({ "1", "2" });
  origins_.OnBegan(kStream, kOld, 0);
  origins_.OnTick(1);
  origins_.OnTick(2);
  ASSERT_EQ(sent_.size(), 1U);
  origins_.ReportAll();
  origins_.OnTick(3);
  ASSERT_EQ(sent_.size(), 2U);
  EXPECT_EQ(sent_.back().began_, sent_.front().began_);
}

TEST_F(StreamOriginsTest, TheOldestStreamsGiveWay)
{
  constexpr model::StreamKey kMaxStreams = 4'096;
  Admit({ "1", "2" });
  for (model::StreamKey stream = 1; stream <= kMaxStreams + 1; ++stream) {
    origins_.OnBegan(stream, kOld, 0);
  }
  Find({ .stream_ = 1, .service_ = "s", .services_ = { "s" } });
  EXPECT_EQ(replies_, 0);
  Find({ .stream_ = 2, .service_ = "s", .services_ = { "s" } });
  EXPECT_EQ(found_, kOld);
  origins_.ReportAll();
  sent_.clear();
  origins_.OnTick(1);
  ASSERT_EQ(sent_.size(), 1U);
  EXPECT_EQ(sent_.front().began_.front().streams_.size(), kMaxStreams);
}

TEST_F(StreamOriginsTest, StreamIsKeptFromTheLastTimeThatItWentOn)
{
  constexpr int64_t kKeptMs = 60'000;
  Admit({ "1", "2" });
  origins_.OnBegan(kStream, kOld, 0);
  origins_.OnBegan(2, kOld, 0);
  origins_.OnBegan(kStream, kOld, kKeptMs);
  origins_.OnTick(kKeptMs + 1);
  Find(kQuery);
  EXPECT_EQ(found_, kOld);
  Find({ .stream_ = 2, .service_ = "s", .services_ = { "s" } });
  EXPECT_EQ(replies_, 1);
}

TEST_F(StreamOriginsTest, OtherServiceOfTheRouteMayHaveSeveralVersions)
{
  const std::vector<model::ServiceVersions> services{ { "s", { "1" } },
                                                      { "t", { "1", "2" } } };
  table_.SetAdmittedVersions(routing::AdmittedVersions(services), 0);
  Find({ .stream_ = kStream, .service_ = "s", .services_ = { "s", "t" } });
  EXPECT_EQ(replies_, 0);
  Receive({ .began_ = { { { "t", "2" }, { kStream } } } });
  EXPECT_EQ(found_, (model::StreamOrigin{ "t", "2" }));
}

TEST_F(StreamOriginsTest, WithoutAdmittedVersionsTheEndpointsDecide)
{
  const auto announce = [this](const std::string& aName,
                               const std::string& aVersion) {
    table_.ApplyAnnouncement({ .endpoint_ = aName,
                               .serves_ = { "s" },
                               .address_ = aName + ":1",
                               .incarnation_ = 1,
                               .sequence_ = 1,
                               .softwareVersion_ = aVersion },
                             0,
                             0);
  };
  announce("a", "1");
  Find(kQuery);
  EXPECT_EQ(found_, kOld);
  announce("b", "2");
  Find(kQuery);
  EXPECT_EQ(replies_, 1);
}

TEST_F(StreamOriginsTest, IdOfStreamsAtTwoVersionsStaysUnknownToANewLeader)
{
  Admit({ "1", "2" });
  origins_.OnBegan(kStream, kOld, 0);
  origins_.OnBegan(kStream, kNew, 0);
  origins_.OnTick(1);
  sent_.clear();
  origins_.ReportAll();
  origins_.OnTick(2);
  // Either both origins, from which control tells that it is ambiguous, or
  // none.
  const size_t reported = sent_.empty() ? 0 : sent_.front().began_.size();
  EXPECT_NE(reported, 1U);
}

TEST_F(StreamOriginsTest, TwoRequestsForOneStreamAreEachAskedForOnceMore)
{
  Admit({ "1", "2" });
  const auto count = [this](std::optional<model::StreamOrigin>) { ++replies_; };
  origins_.Find(1, kQuery, count, 0);
  origins_.Find(2, kQuery, count, 0);
  Receive({ .unknown_ = { kStream } });
  Receive({ .unknown_ = { kStream } });
  EXPECT_EQ(replies_, 0);
}

TEST_F(StreamOriginsTest, WithoutAdmittedVersionsAVersionThatHasLeftStillCounts)
{
  constexpr int64_t kLeaseMs = 10;
  const auto announce = [this](const std::string& aName,
                               const std::string& aVersion,
                               int64_t aNowMs) {
    table_.ApplyAnnouncement({ .endpoint_ = aName,
                               .serves_ = { "s" },
                               .address_ = aName + ":1",
                               .incarnation_ = 1,
                               .sequence_ = 1,
                               .leaseMs_ = kLeaseMs,
                               .softwareVersion_ = aVersion },
                             0,
                             aNowMs);
  };
  announce("a", "1", 0);
  table_.Expire(kLeaseMs + 1);
  announce("b", "2", kLeaseMs + 1);
  // A stream that another router began at version 1 is taken up here.
  Find(kQuery);
  EXPECT_NE(found_, kNew);
}

} // namespace
} // namespace cactuswick::router

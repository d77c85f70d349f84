#include "request/AnswerRelay.h"

#include <gtest/gtest.h>

namespace cactuswick::router {
namespace {

constexpr ledger::Tokens kPrompt = 100;
constexpr ledger::Tokens kMostOutput = 7;

ForwardResponseHead
Head(int aStatus, const std::string& aType = "text/event-stream")
{
  return { .status_ = aStatus, .headers_ = { { "Content-Type", aType } } };
}

AnswerRelay
Relay(bool aIsStream)
{
  return AnswerRelay({ .isStream_ = aIsStream,
                       .resumable_ = true,
                       .lastEventId_ = "",
                       .promptTokens_ = kPrompt,
                       .maxOutputTokens_ = kMostOutput,
                       .tokensPerEvent_ = 2 });
}

/// A stream of which the caller has event 1 and the router half of event 2.
AnswerRelay
BrokenStream()
{
  AnswerRelay relay = Relay(true);
  relay.BeginAttempt();
  relay.SetHead(Head(200));
  relay.Feed("id: 1\ndata: a\n\nid: 2\nda");
  return relay;
}

TEST(AnswerRelay, PassesEventsOnAndBeginsTheAnswerOnce)
{
  AnswerRelay relay = Relay(true);
  relay.BeginAttempt();
  EXPECT_EQ(relay.Feed("early"), RelayOutput{});
  relay.SetHead(Head(200));
  EXPECT_EQ(relay.Feed("id: 1\n"), RelayOutput{});
  EXPECT_FALSE(relay.HasBegun());
  EXPECT_EQ(relay.Feed("\nid: 2"),
            (RelayOutput{
              .begins_ = true, .bytes_ = "id: 1\n\n", .hasEvents_ = true }));
  EXPECT_TRUE(relay.HasBegun());
  EXPECT_EQ(relay.Feed("\n\n"),
            (RelayOutput{ .bytes_ = "id: 2\n\n", .hasEvents_ = true }));
  EXPECT_EQ(relay.LastEventId(), "2");
  EXPECT_EQ(relay.EventCount(), 2);
}

TEST(AnswerRelay, AnEventWithoutEndIsReported)
{
  AnswerRelay relay = Relay(true);
  relay.SetHead(Head(200));
  const std::string endless(EventSplitter::kMaxEventBytes + 1, 'a');
  EXPECT_EQ(relay.Feed(endless), RelayOutput{ .isOverlong_ = true });
}

TEST(AnswerRelay, ABrokenStreamGoesOnBehindTheLastWholeEvent)
{
  AnswerRelay relay = BrokenStream();
  EXPECT_EQ(relay.EndOfAttempt(false, false), AnswerEnd::kCut);
  EXPECT_EQ(relay.EndOfAttempt(true, true), AnswerEnd::kCut);
  EXPECT_EQ(relay.DescribeEnd("cut"), "cut/200");
  relay.EndAttempt();
  EXPECT_TRUE(relay.CanGoOn());
  relay.BeginAttempt();
  EXPECT_EQ(relay.DescribeEnd("unreached"), "unreached@1");
  relay.SetHead(Head(200));
  EXPECT_EQ(
    relay.Feed("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"),
    (RelayOutput{ .bytes_ = "id: 2\ndata: b\n\n", .hasEvents_ = true }));
  EXPECT_EQ(relay.EndOfAttempt(true, false), AnswerEnd::kWhole);
  EXPECT_EQ(relay.TakeLast(), "");
}

TEST(AnswerRelay, AStreamThatMayNotBeResumedEndsOnceItHasBegun)
{
  AnswerRelay relay({ .isStream_ = true, .resumable_ = false });
  relay.BeginAttempt();
  relay.SetHead(Head(200));
  EXPECT_TRUE(relay.CanGoOn());
  relay.Feed("id: 1\n\n");
  EXPECT_FALSE(relay.CanGoOn());
}

TEST(AnswerRelay, AnErrorIsNeverJoinedToAStream)
{
  AnswerRelay relay = BrokenStream();
  relay.EndAttempt();
  relay.BeginAttempt();
  relay.SetHead(Head(500, "text/plain"));
  EXPECT_EQ(relay.Feed("failed"), RelayOutput{});
  EXPECT_EQ(relay.EndOfAttempt(true, false), AnswerEnd::kCannotFollow);
}

TEST(AnswerRelay, AnErrorInPlaceOfAStreamIsHeldBack)
{
  AnswerRelay relay = Relay(true);
  relay.BeginAttempt();
  relay.SetHead(Head(500, "text/plain"));
  EXPECT_EQ(relay.Feed("failed"), RelayOutput{});
  EXPECT_EQ(relay.EndOfAttempt(true, false), AnswerEnd::kServerError);
  EXPECT_EQ(relay.TakeLast(), "failed");
  EXPECT_EQ(relay.UsedTokens(), 0);
}

TEST(AnswerRelay, ABodyIsHeldBackSoThatTheNextAttemptBeginsAnew)
{
  AnswerRelay relay = Relay(false);
  relay.BeginAttempt();
  relay.SetHead(Head(200, "text/plain"));
  EXPECT_EQ(relay.Feed("abc"), RelayOutput{});
  EXPECT_TRUE(relay.CanGoOn());
  relay.EndAttempt();
  relay.BeginAttempt();
  EXPECT_EQ(relay.Head().status_, 0);
  relay.SetHead(Head(200, "text/plain"));
  relay.Feed("def");
  EXPECT_EQ(relay.TakeLast(), "def");
}

TEST(AnswerRelay, ALargeBodyIsPassedOnAndCannotBeRepeated)
{
  AnswerRelay relay = Relay(false);
  relay.BeginAttempt();
  relay.SetHead(Head(200, "text/plain"));
  const std::string held(AnswerRelay::kMaxHeldBytes, 'a');
  EXPECT_EQ(relay.Feed(held), RelayOutput{});
  EXPECT_EQ(relay.Feed("b"),
            (RelayOutput{ .begins_ = true, .bytes_ = held + "b" }));
  EXPECT_EQ(relay.Feed("c"), RelayOutput{ .bytes_ = "c" });
  EXPECT_FALSE(relay.CanGoOn());
  EXPECT_EQ(relay.TakeLast(), "");
}

TEST(AnswerRelay, OnlyWhatReachedTheCallerIsBilled)
{
  AnswerRelay stream = Relay(true);
  stream.BeginAttempt();
  stream.SetHead(Head(200));
  EXPECT_EQ(stream.UsedTokens(), 0);
  stream.Feed("id: 1\n\nid: 2\n\n");
  EXPECT_EQ(stream.UsedTokens(), kPrompt + 4);
  stream.Feed("id: 3\n\nid: 4\n\n");
  EXPECT_EQ(stream.UsedTokens(), kPrompt + kMostOutput);

  AnswerRelay body = Relay(false);
  body.BeginAttempt();
  body.SetHead(Head(200, "text/plain"));
  body.Feed("abc");
  EXPECT_EQ(body.UsedTokens(), 0);
  body.TakeLast();
  EXPECT_EQ(body.UsedTokens(), kPrompt + kMostOutput);
}

} // namespace
} // namespace cactuswick::router

#include "request/ResponseRelay.h"

#include <gtest/gtest.h>

namespace cactuswick::router {
namespace {

constexpr ledger::Tokens kPrompt = 100;
constexpr ledger::Tokens kMaxOutput = 7;

ForwardResponseHead
Head(int aStatus, const std::string& aType = "text/event-stream")
{
  return { .status_ = aStatus, .headers_ = { { "Content-Type", aType } } };
}

ResponseRelay
Relay(bool aIsStream)
{
  return ResponseRelay({ .isStream_ = aIsStream,
                         .resumable_ = true,
                         .lastEventId_ = "",
                         .promptTokens_ = kPrompt,
                         .maxOutputTokens_ = kMaxOutput,
                         .tokensPerEvent_ = 2 });
}

/// Returns a relay after a stream of which the caller has event 1 and the
/// router has a part of event 2.
ResponseRelay
InterruptedStream()
{
  ResponseRelay relay = Relay(true);
  relay.BeginAttempt();
  relay.SetHead(Head(200));
  relay.Feed("id: 1\ndata: a\n\nid: 2\nda");
  return relay;
}

TEST(ResponseRelay, ForwardsEventsAndStartsResponseOnce)
{
  ResponseRelay relay = Relay(true);
  relay.BeginAttempt();
  EXPECT_EQ(relay.Feed("early"), RelayOutput{});
  relay.SetHead(Head(200));
  EXPECT_EQ(relay.Feed("id: 1\n"), RelayOutput{});
  EXPECT_FALSE(relay.HasBegun());
  EXPECT_EQ(relay.Feed("\nid: 2"),
            (RelayOutput{ .startsResponse_ = true,
                          .bytes_ = "id: 1\n\n",
                          .hasEvents_ = true }));
  EXPECT_TRUE(relay.HasBegun());
  EXPECT_EQ(relay.Feed("\n\n"),
            (RelayOutput{ .bytes_ = "id: 2\n\n", .hasEvents_ = true }));
  EXPECT_EQ(relay.LastEventId(), "2");
  EXPECT_EQ(relay.EventCount(), 2);
}

TEST(ResponseRelay, ReportsUnterminatedEventAsTooLarge)
{
  ResponseRelay relay = Relay(true);
  relay.SetHead(Head(200));
  const std::string unterminated(EventSplitter::kMaxEventBytes + 1, 'a');
  EXPECT_EQ(relay.Feed(unterminated), RelayOutput{ .eventTooLarge_ = true });
}

TEST(ResponseRelay, InterruptedStreamResumesAfterLastCompleteEvent)
{
  ResponseRelay relay = InterruptedStream();
  EXPECT_EQ(relay.ClassifyEnd(false, false), AttemptEnd::kTruncated);
  EXPECT_EQ(relay.ClassifyEnd(true, true), AttemptEnd::kTruncated);
  EXPECT_EQ(relay.DescribeEnd("cut"), "cut/200");
  relay.EndAttempt();
  EXPECT_TRUE(relay.CanRetry());
  relay.BeginAttempt();
  EXPECT_EQ(relay.DescribeEnd("unreached"), "unreached@1");
  relay.SetHead(Head(200));
  EXPECT_EQ(
    relay.Feed("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"),
    (RelayOutput{ .bytes_ = "id: 2\ndata: b\n\n", .hasEvents_ = true }));
  EXPECT_EQ(relay.ClassifyEnd(true, false), AttemptEnd::kComplete);
  EXPECT_EQ(relay.TakeRemainder(), "");
}

TEST(ResponseRelay, NonResumableStreamCannotRetryOnceStarted)
{
  ResponseRelay relay({ .isStream_ = true, .resumable_ = false });
  relay.BeginAttempt();
  relay.SetHead(Head(200));
  EXPECT_TRUE(relay.CanRetry());
  relay.Feed("id: 1\n\n");
  EXPECT_FALSE(relay.CanRetry());
}

TEST(ResponseRelay, ErrorIsNotAppendedToStartedStream)
{
  ResponseRelay relay = InterruptedStream();
  relay.EndAttempt();
  relay.BeginAttempt();
  relay.SetHead(Head(500, "text/plain"));
  EXPECT_EQ(relay.Feed("failed"), RelayOutput{});
  EXPECT_EQ(relay.ClassifyEnd(true, false), AttemptEnd::kCannotContinue);
}

TEST(ResponseRelay, ErrorInsteadOfStreamIsBuffered)
{
  ResponseRelay relay = Relay(true);
  relay.BeginAttempt();
  relay.SetHead(Head(500, "text/plain"));
  EXPECT_EQ(relay.Feed("failed"), RelayOutput{});
  EXPECT_EQ(relay.ClassifyEnd(true, false), AttemptEnd::kServerError);
  EXPECT_EQ(relay.TakeRemainder(), "failed");
  EXPECT_EQ(relay.UsedTokens(), 0);
}

TEST(ResponseRelay, BufferedBodyIsDiscardedByNextAttempt)
{
  ResponseRelay relay = Relay(false);
  relay.BeginAttempt();
  relay.SetHead(Head(200, "text/plain"));
  EXPECT_EQ(relay.Feed("abc"), RelayOutput{});
  EXPECT_TRUE(relay.CanRetry());
  relay.EndAttempt();
  relay.BeginAttempt();
  EXPECT_EQ(relay.Head().status_, 0);
  relay.SetHead(Head(200, "text/plain"));
  relay.Feed("def");
  EXPECT_EQ(relay.TakeRemainder(), "def");
}

TEST(ResponseRelay, LargeBodyIsForwardedAndCannotRetry)
{
  ResponseRelay relay = Relay(false);
  relay.BeginAttempt();
  relay.SetHead(Head(200, "text/plain"));
  const std::string held(ResponseRelay::kMaxBufferedBytes, 'a');
  EXPECT_EQ(relay.Feed(held), RelayOutput{});
  EXPECT_EQ(relay.Feed("b"),
            (RelayOutput{ .startsResponse_ = true, .bytes_ = held + "b" }));
  EXPECT_EQ(relay.Feed("c"), RelayOutput{ .bytes_ = "c" });
  EXPECT_FALSE(relay.CanRetry());
  EXPECT_EQ(relay.TakeRemainder(), "");
}

TEST(ResponseRelay, BillsOnlyForwardedTokens)
{
  ResponseRelay stream = Relay(true);
  stream.BeginAttempt();
  stream.SetHead(Head(200));
  EXPECT_EQ(stream.UsedTokens(), 0);
  stream.Feed("id: 1\n\nid: 2\n\n");
  EXPECT_EQ(stream.UsedTokens(), kPrompt + 4);
  stream.Feed("id: 3\n\nid: 4\n\n");
  EXPECT_EQ(stream.UsedTokens(), kPrompt + kMaxOutput);

  ResponseRelay body = Relay(false);
  body.BeginAttempt();
  body.SetHead(Head(200, "text/plain"));
  body.Feed("abc");
  EXPECT_EQ(body.UsedTokens(), 0);
  body.TakeRemainder();
  EXPECT_EQ(body.UsedTokens(), kPrompt + kMaxOutput);
}

} // namespace
} // namespace cactuswick::router

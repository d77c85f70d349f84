#include "request/Attempts.h"

#include <gtest/gtest.h>

#include "cactuswick/transport/process/EventLoop.h"

namespace cactuswick::router {
namespace {

using routing::AttemptOutcome;
using transport::EventLoop;

constexpr int64_t kWaitMs = 200;

class AttemptsTest : public testing::Test
{
protected:
  AttemptsTest()
    : dispatcher_(loop_, {})
  {
    Announce("a");
    Announce("b");
  }

  void Announce(const std::string& aName)
  {
    dispatcher_.ApplyAnnouncement({ .endpoint_ = aName,
                                    .serves_ = { "m" },
                                    .address_ = "127.0.0.1:1",
                                    .slots_ = 4,
                                    .incarnation_ = 1,
                                    .sequence_ = 1,
                                    .leaseMs_ = 60'000 },
                                  0);
  }

  AttemptsOptions Options(int64_t aLeftMs)
  {
    return { .dispatcher_ = dispatcher_,
             .metrics_ = metrics_,
             .maxSends_ = 2,
             .maxUnreached_ = 2,
             .deadlineMs_ = EventLoop::NowMs() + aLeftMs,
             .leastLeftMs_ = 1'000,
             .tryRepeat_ = [this] { return repeats_-- > 0; } };
  }

  /// Queues the request and waits until an endpoint has it.
  bool Place(Attempts& aAttempts)
  {
    bool placed = false;
    aAttempts.Enqueue(
      { .queued_ = { .id_ = 1, .deadlineMs_ = EventLoop::NowMs() + kWaitMs },
        .serves_ = "m",
        .onPlaced_ =
          [&](const model::Announcement&, ledger::Tokens) {
            placed = true;
            loop_.Stop();
          },
        .onExpired_ = [&] { loop_.Stop(); } });
    loop_.Run();
    return placed;
  }

  EventLoop loop_;
  telemetry::Metrics metrics_;
  Dispatcher dispatcher_;
  int64_t repeats_ = 10;
};

TEST_F(AttemptsTest, ArrivedRequestsGoElsewhereUntilTheirSendsAreUsedUp)
{
  Attempts attempts(Options(60'000));
  ASSERT_TRUE(Place(attempts));
  const std::string first = attempts.Endpoint().endpoint_;
  attempts.NoteEnd(true);
  attempts.Leave(AttemptOutcome::kNeutral, "cut");
  ASSERT_TRUE(attempts.TryRepeat(true));
  ASSERT_TRUE(Place(attempts));
  EXPECT_NE(attempts.Endpoint().endpoint_, first);
  attempts.NoteEnd(true);
  attempts.Leave(AttemptOutcome::kNeutral, "cut");
  EXPECT_FALSE(attempts.TryRepeat(true));
  EXPECT_EQ(repeats_, 9);
  EXPECT_TRUE(attempts.History().starts_with(first + ":cut:"));
}

TEST_F(AttemptsTest, ArrivedRequestsNeedTheRetryBudget)
{
  repeats_ = 0;
  Attempts attempts(Options(60'000));
  ASSERT_TRUE(Place(attempts));
  attempts.NoteEnd(true);
  EXPECT_FALSE(attempts.TryRepeat(true));
}

TEST_F(AttemptsTest, UnreachedEndpointsCostNoBudgetButAreFew)
{
  Attempts attempts(Options(60'000));
  ASSERT_TRUE(Place(attempts));
  attempts.NoteEnd(false);
  EXPECT_TRUE(attempts.TryRepeat(false));
  attempts.NoteEnd(false);
  EXPECT_FALSE(attempts.TryRepeat(false));
  EXPECT_EQ(repeats_, 10);
}

TEST_F(AttemptsTest, NothingIsRepeatedWithTooLittleTimeLeft)
{
  Attempts attempts(Options(500));
  ASSERT_TRUE(Place(attempts));
  attempts.NoteEnd(false);
  EXPECT_FALSE(attempts.TryRepeat(false));
}

TEST_F(AttemptsTest, TheSlotIsGivenBackOnce)
{
  Attempts attempts(Options(60'000));
  ASSERT_TRUE(Place(attempts));
  EXPECT_TRUE(attempts.IsAtEndpoint());
  attempts.Leave(AttemptOutcome::kServed, "whole");
  EXPECT_FALSE(attempts.IsAtEndpoint());
  const std::string history = attempts.History();
  attempts.Leave(AttemptOutcome::kServed, "whole");
  EXPECT_EQ(attempts.History(), history);
}

} // namespace
} // namespace cactuswick::router

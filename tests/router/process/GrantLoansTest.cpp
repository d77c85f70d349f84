#include "process/GrantLoans.h"

#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <gtest/gtest.h>

#include "cactuswick/transport/connection/PeerListener.h"
#include "transport/connection/LoopbackCaller.h"

namespace cactuswick::router {
namespace {

using transport::EventLoop;
using transport::LinkId;
using transport::PeerMessage;
using transport::Timer;

constexpr uint16_t kFirstPort = 18'990;
constexpr int64_t kReplyTimeoutMs = 400;

transport::Address
AddressOf(ledger::Incarnation aLender)
{
  return { transport::ProcessLoopbackHost(),
           static_cast<uint16_t>(kFirstPort + aLender) };
}

/// Routers that are asked for a loan and all answer after the same delay.
struct LenderOptions
{
  int count_ = 0;
  int64_t replyDelayMs_ = 0;
  /// Number of routers, in the order asked, that refuse.
  int refusals_ = 0;
};

constexpr ledger::Tokens kLent = 100;

class SlowLender
{
public:
  SlowLender(EventLoop& aLoop,
             ledger::Incarnation aId,
             const LenderOptions& aOptions,
             int& aRequestCount)
    : options_(aOptions)
    , requestCount_(aRequestCount)
    , listener_(aLoop,
                { .onMessage_ =
                    [this](LinkId aLink, const PeerMessage& aMessage) {
                      OnMessage(aLink, aMessage);
                    } })
    , replyTimer_(aLoop, [this] { listener_.Send(link_, reply_); })
  {
    EXPECT_TRUE(listener_.Listen(AddressOf(aId)).ok());
  }

private:
  void OnMessage(LinkId aLink, const PeerMessage& aMessage)
  {
    const auto* request = std::get_if<transport::LendRequest>(&aMessage);
    if (request != nullptr) {
      link_ = aLink;
      const bool refuses = requestCount_++ < options_.refusals_;
      reply_ = { request->call_, request->budget_, refuses ? 0 : kLent };
      replyTimer_.StartOnce(options_.replyDelayMs_);
    }
  }

  const LenderOptions& options_;
  int& requestCount_;
  transport::PeerListener listener_;
  Timer replyTimer_;
  LinkId link_ = 0;
  transport::LendReply reply_;
};

/// Result of one round of loan requests.
struct RoundResult
{
  ledger::Tokens lent_ = 0;
  int refusals_ = 0;
  int64_t endedMs_ = 0;
};

RoundResult
RunRound(const LenderOptions& aOptions)
{
  EventLoop loop;
  int requestCount = 0;
  std::vector<std::unique_ptr<SlowLender>> lenders;
  std::vector<ledger::RouterRecord> routers;
  std::vector<ledger::Incarnation> holders;
  for (ledger::Incarnation id = 1; id <= aOptions.count_; ++id) {
    lenders.push_back(
      std::make_unique<SlowLender>(loop, id, aOptions, requestCount));
    routers.push_back(
      { .incarnation_ = id, .peerAddress_ = AddressOf(id).ToString() });
    holders.push_back(id);
  }
  RoundResult result;
  const int64_t start = EventLoop::NowMs();
  const auto end = [&] {
    result.endedMs_ = EventLoop::NowMs() - start;
    loop.Stop();
  };
  GrantLoans loans(
    loop,
    { .from_ = AddressOf(0).host_,
      .replyTimeoutMs_ = kReplyTimeoutMs,
      .self_ = [] { return ledger::Incarnation{ 99 }; },
      .routers_ = [&] { return routers; },
      .reserveHolders_ = [&](const std::string&) { return holders; },
      .onLent_ =
        [&](const std::string&, ledger::Tokens aAmount) {
          result.lent_ = aAmount;
          end();
        },
      .onRefused_ =
        [&](const std::string&, ledger::Tokens) {
          ++result.refusals_;
          end();
        } });
  loans.Borrow("b", kLent, 1);
  Timer timeout(loop, end);
  timeout.StartOnce(2'000);
  loop.Run();
  return result;
}

TEST(GrantLoans, LateRefusalsOfSomeLendersDoNotEndRound)
{
  const RoundResult result =
    RunRound({ .count_ = 4, .replyDelayMs_ = 250, .refusals_ = 2 });
  EXPECT_EQ(result.lent_, kLent);
  EXPECT_EQ(result.refusals_, 0);
}

TEST(GrantLoans, WaitsForReplyOverSaturatedLink)
{
  const RoundResult result = RunRound({ .count_ = 1, .replyDelayMs_ = 350 });
  EXPECT_EQ(result.lent_, kLent);
  EXPECT_EQ(result.refusals_, 0);
}

TEST(GrantLoans, RefusalsOfAllLendersEndRoundAtOnce)
{
  const RoundResult result = RunRound({ .count_ = 3, .refusals_ = 3 });
  EXPECT_EQ(result.refusals_, 1);
  EXPECT_LT(result.endedMs_, 100);
}

TEST(GrantLoans, RoundTimesOutWithoutReplies)
{
  const RoundResult result = RunRound({ .count_ = 2, .replyDelayMs_ = 60'000 });
  EXPECT_EQ(result.refusals_, 1);
  EXPECT_LT(result.endedMs_, 700);
}

} // namespace
} // namespace cactuswick::router

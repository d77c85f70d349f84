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
constexpr int64_t kAnswerMs = 400;

transport::Address
AddressOf(ledger::Incarnation aLender)
{
  return { transport::OwnHost(), static_cast<uint16_t>(kFirstPort + aLender) };
}

/// Routers that are asked for a loan, and all answer as late.
struct Lenders
{
  int count_ = 0;
  int64_t afterMs_ = 0;
  /// So many of those that are asked first have nothing to spare.
  int refuse_ = 0;
};

constexpr ledger::Tokens kLent = 100;

class SlowLender
{
public:
  SlowLender(EventLoop& aLoop,
             ledger::Incarnation aId,
             const Lenders& aLenders,
             int& aAsked)
    : lenders_(aLenders)
    , asked_(aAsked)
    , listener_(aLoop,
                { .onMessage_ =
                    [this](LinkId aLink, const PeerMessage& aMessage) {
                      OnMessage(aLink, aMessage);
                    } })
    , answer_(aLoop, [this] { listener_.Send(link_, reply_); })
  {
    EXPECT_TRUE(listener_.Listen(AddressOf(aId)).ok());
  }

private:
  void OnMessage(LinkId aLink, const PeerMessage& aMessage)
  {
    const auto* ask = std::get_if<transport::LendRequest>(&aMessage);
    if (ask != nullptr) {
      link_ = aLink;
      const bool refuses = asked_++ < lenders_.refuse_;
      reply_ = { ask->call_, ask->budget_, refuses ? 0 : kLent };
      answer_.StartOnce(lenders_.afterMs_);
    }
  }

  const Lenders& lenders_;
  int& asked_;
  transport::PeerListener listener_;
  Timer answer_;
  LinkId link_ = 0;
  transport::LendReply reply_;
};

/// What became of one round of asking.
struct Outcome
{
  ledger::Tokens lent_ = 0;
  int refusals_ = 0;
  int64_t endedMs_ = 0;
};

Outcome
AskAll(const Lenders& aLenders)
{
  EventLoop loop;
  int asked = 0;
  std::vector<std::unique_ptr<SlowLender>> lenders;
  std::vector<ledger::RouterRecord> routers;
  std::vector<ledger::Incarnation> holders;
  for (ledger::Incarnation id = 1; id <= aLenders.count_; ++id) {
    lenders.push_back(std::make_unique<SlowLender>(loop, id, aLenders, asked));
    routers.push_back(
      { .incarnation_ = id, .peerAddress_ = AddressOf(id).ToString() });
    holders.push_back(id);
  }
  Outcome outcome;
  const int64_t start = EventLoop::NowMs();
  const auto end = [&] {
    outcome.endedMs_ = EventLoop::NowMs() - start;
    loop.Stop();
  };
  GrantLoans loans(
    loop,
    { .from_ = AddressOf(0).host_,
      .replyTimeoutMs_ = kAnswerMs,
      .self_ = [] { return ledger::Incarnation{ 99 }; },
      .routers_ = [&] { return routers; },
      .reserveHolders_ = [&](const std::string&) { return holders; },
      .onLent_ =
        [&](const std::string&, ledger::Tokens aAmount) {
          outcome.lent_ = aAmount;
          end();
        },
      .onRefused_ =
        [&](const std::string&, ledger::Tokens) {
          ++outcome.refusals_;
          end();
        } });
  loans.Borrow("b", kLent, 1);
  Timer late(loop, end);
  late.StartOnce(2'000);
  loop.Run();
  return outcome;
}

TEST(GrantLoans, LateRefusalsOfSomeAreNoRefusalOfAll)
{
  const Outcome outcome =
    AskAll({ .count_ = 4, .afterMs_ = 250, .refuse_ = 2 });
  EXPECT_EQ(outcome.lent_, kLent);
  EXPECT_EQ(outcome.refusals_, 0);
}

TEST(GrantLoans, AnAnswerThatTakesARoundTripOfAFullLinkIsWaitedFor)
{
  const Outcome outcome = AskAll({ .count_ = 1, .afterMs_ = 350 });
  EXPECT_EQ(outcome.lent_, kLent);
  EXPECT_EQ(outcome.refusals_, 0);
}

TEST(GrantLoans, RefusalsOfAllEndTheRoundAtOnce)
{
  const Outcome outcome = AskAll({ .count_ = 3, .refuse_ = 3 });
  EXPECT_EQ(outcome.refusals_, 1);
  EXPECT_LT(outcome.endedMs_, 100);
}

TEST(GrantLoans, LendersThatNeverAnswerEndTheRound)
{
  const Outcome outcome = AskAll({ .count_ = 2, .afterMs_ = 60'000 });
  EXPECT_EQ(outcome.refusals_, 1);
  EXPECT_LT(outcome.endedMs_, 700);
}

} // namespace
} // namespace cactuswick::router

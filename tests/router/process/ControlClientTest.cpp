#include "process/ControlClient.h"

#include <chrono>
#include <string>
#include <thread>
#include <utility>
#include <variant>

#include <gtest/gtest.h>

#include "cactuswick/transport/connection/PeerListener.h"
#include "transport/connection/LoopbackCaller.h"

namespace cactuswick::router {
namespace {

using transport::EventLoop;
using transport::LinkId;
using transport::PeerMessage;
using transport::Timer;

constexpr uint16_t kPort = 18'981;

transport::Address
OwnAddress()
{
  return { transport::OwnHost(), kPort };
}

/// A control leader that answers batches late and pushes meanwhile.
struct SlowLeader
{
  struct Options
  {
    int64_t answerAfterMs_ = 0;
    bool pushes_ = false;
  };

  SlowLeader(EventLoop& aLoop, Options aOptions)
    : answerAfterMs_(aOptions.answerAfterMs_)
    , pushes_(aOptions.pushes_)
    , listener_(aLoop,
                { .onMessage_ =
                    [this](LinkId aLink, PeerMessage aMessage) {
                      std::visit([&](const auto& aOne) { On(aLink, aOne); },
                                 aMessage);
                    } })
    , push_(aLoop, [this] { Push(); })
    , answer_(aLoop, [this] { Answer(); })
  {
    EXPECT_TRUE(listener_.Listen(OwnAddress()).ok());
  }

  void On(LinkId aLink, const transport::ProposeRequest& aRequest)
  {
    if (std::holds_alternative<ledger::RegisterRouter>(aRequest.command_)) {
      listener_.Send(
        aLink,
        transport::ProposeReply{ aRequest.call_,
                                 ledger::Registered{ .incarnation_ = 1 } });
      return;
    }
    const auto& batch = std::get<ledger::RouterBatch>(aRequest.command_);
    link_ = aLink;
    reply_ = { aRequest.call_,
               ledger::BatchReply{ .sequence_ = batch.sequence_,
                                   .results_ = { ledger::GrantResult{} } } };
    if (batch.sequence_ > std::exchange(sequence_, batch.sequence_)) {
      answer_.StartOnce(answerAfterMs_);
    }
  }

  void On(LinkId aLink, const transport::Subscribe&)
  {
    ++subscriptions_;
    link_ = aLink;
    listener_.Send(aLink, transport::ControlMembers{});
    if (pushes_) {
      constexpr int64_t kPushMs = 100;
      push_.StartRepeating(kPushMs);
    }
  }

  template<class Other>
  void On(LinkId, const Other&)
  {
  }

  void Push()
  {
    constexpr size_t kDocumentBytes = size_t{ 64 } << 10;
    ledger::ConfigDelta delta{ .revision_ = ++revision_ };
    delta.deployment_ = { .version_ = revision_,
                          .document_ = { std::string(kDocumentBytes, 'a') } };
    listener_.Send(link_, transport::ConfigPush{ std::move(delta) });
  }

  void Answer() { listener_.Send(link_, reply_); }

  int64_t answerAfterMs_;
  bool pushes_;
  transport::PeerListener listener_;
  Timer push_;
  Timer answer_;
  LinkId link_ = 0;
  transport::ProposeReply reply_;
  int64_t revision_ = 0;
  int64_t sequence_ = 0;
  int subscriptions_ = 0;
};

/// A router's line to that leader, with one operation under way.
struct Talk
{
  explicit Talk(SlowLeader::Options aOptions)
    : leader_(loop_, aOptions)
    , control_(
        loop_,
        { .replicas_ = { OwnAddress() },
          .from_ = OwnAddress().host_,
          .onRegistered_ = [this](const ledger::Registered&) { StartCall(); },
          .onConfig_ = [](const ledger::ConfigDelta&) {} })
    , end_(loop_, [this] { loop_.Stop(); })
  {
  }

  void StartCall()
  {
    answered_ = false;
    control_.Submit(ledger::AcquireGrant{ .budget_ = "b", .minimum_ = 1 },
                    [this](const ledger::OpResult&) { answered_ = true; });
  }

  void RunFor(int64_t aMs)
  {
    end_.StartOnce(aMs);
    loop_.Run();
  }

  EventLoop loop_;
  bool answered_ = false;
  SlowLeader leader_;
  ControlClient control_;
  Timer end_;
};

TEST(ControlClient, WaitsForAnAnswerThatComesBehindPushes)
{
  Talk talk({ .answerAfterMs_ = 2'500, .pushes_ = true });
  talk.RunFor(3'000);
  EXPECT_TRUE(talk.answered_);
  EXPECT_EQ(talk.leader_.subscriptions_, 1);
}

TEST(ControlClient, LeavesALeaderThatOnlyKeepsTheLinkAlive)
{
  Talk talk({ .answerAfterMs_ = 60'000 });
  talk.RunFor(2'500);
  EXPECT_FALSE(talk.answered_);
  EXPECT_GE(talk.leader_.subscriptions_, 2);
}

TEST(ControlClient, LeavesALeaderThatPushesForGoodAndAnswersNothing)
{
  Talk talk({ .answerAfterMs_ = 60'000, .pushes_ = true });
  talk.RunFor(6'000);
  EXPECT_FALSE(talk.answered_);
  EXPECT_GE(talk.leader_.subscriptions_, 2);
}

TEST(ControlClient, AFirstQuestionAfterAPauseIsNotOverdue)
{
  Talk talk({});
  talk.RunFor(200);
  ASSERT_TRUE(talk.answered_);
  talk.leader_.listener_.Send(talk.leader_.link_, transport::Redirect{});
  talk.RunFor(2'000);
  ASSERT_EQ(talk.leader_.subscriptions_, 2);
  talk.leader_.answerAfterMs_ = 300;
  talk.StartCall();
  talk.RunFor(600);
  EXPECT_TRUE(talk.answered_);
  EXPECT_EQ(talk.leader_.subscriptions_, 2);
}

TEST(ControlClient, ReachesALeaderThatTakesLongToConnect)
{
  static constexpr int64_t kTurnMs = 500;
  EventLoop leaderLoop;
  SlowLeader leader(leaderLoop, {});
  // Each turn of the leader's loop stands: a handshake takes two of them.
  Timer stand(leaderLoop, [] {
    std::this_thread::sleep_for(std::chrono::milliseconds(kTurnMs));
  });
  stand.StartRepeating(1);
  std::thread thread([&] { leaderLoop.Run(); });
  std::this_thread::sleep_for(std::chrono::milliseconds(kTurnMs / 4));
  EventLoop loop;
  bool registered = false;
  ControlClient control(loop,
                        { .replicas_ = { OwnAddress() },
                          .from_ = OwnAddress().host_,
                          .onRegistered_ =
                            [&](const ledger::Registered&) {
                              registered = true;
                              loop.Stop();
                            },
                          .onConfig_ = [](const ledger::ConfigDelta&) {} });
  Timer late(loop, [&] { loop.Stop(); });
  late.StartOnce(8 * kTurnMs);
  loop.Run();
  leaderLoop.Stop();
  thread.join();
  EXPECT_TRUE(registered);
}

} // namespace
} // namespace cactuswick::router

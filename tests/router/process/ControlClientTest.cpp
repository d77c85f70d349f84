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
  return { transport::ProcessLoopbackHost(), kPort };
}

/// Control leader that answers batches late and pushes configuration in the
/// meantime.
struct SlowLeader
{
  struct Options
  {
    int64_t replyDelayMs_ = 0;
    bool pushes_ = false;
  };

  SlowLeader(EventLoop& aLoop, Options aOptions)
    : replyDelayMs_(aOptions.replyDelayMs_)
    , pushes_(aOptions.pushes_)
    , listener_(aLoop,
                { .onMessage_ =
                    [this](LinkId aLink, PeerMessage aMessage) {
                      std::visit([&](const auto& aOne) { On(aLink, aOne); },
                                 aMessage);
                    } })
    , pushTimer_(aLoop, [this] { Push(); })
    , replyTimer_(aLoop, [this] { Answer(); })
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
      replyTimer_.StartOnce(replyDelayMs_);
    }
  }

  void On(LinkId aLink, const transport::Subscribe&)
  {
    ++subscriptions_;
    link_ = aLink;
    listener_.Send(aLink, transport::ControlMembers{});
    if (pushes_) {
      constexpr int64_t kPushMs = 100;
      pushTimer_.StartRepeating(kPushMs);
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

  int64_t replyDelayMs_;
  bool pushes_;
  transport::PeerListener listener_;
  Timer pushTimer_;
  Timer replyTimer_;
  LinkId link_ = 0;
  transport::ProposeReply reply_;
  int64_t revision_ = 0;
  int64_t sequence_ = 0;
  int subscriptions_ = 0;
};

/// Client connected to that leader, with one operation in flight.
struct ClientSession
{
  explicit ClientSession(SlowLeader::Options aOptions)
    : leader_(loop_, aOptions)
    , control_(loop_,
               { .replicas_ = { OwnAddress() },
                 .from_ = OwnAddress().host_,
                 .onRegistered_ =
                   [this](const ledger::Registered&) { SubmitOperation(); },
                 .onConfig_ = [](const ledger::ConfigDelta&) {} })
    , timer_(loop_, [this] { loop_.Stop(); })
  {
  }

  void SubmitOperation()
  {
    answered_ = false;
    control_.Submit(ledger::AcquireGrant{ .budget_ = "b", .minimum_ = 1 },
                    [this](const ledger::OpResult&) { answered_ = true; });
  }

  void RunFor(int64_t aMs)
  {
    timer_.StartOnce(aMs);
    loop_.Run();
  }

  EventLoop loop_;
  bool answered_ = false;
  SlowLeader leader_;
  ControlClient control_;
  Timer timer_;
};

TEST(ControlClient, WaitsForReplyQueuedBehindPushes)
{
  ClientSession session({ .replyDelayMs_ = 2'500, .pushes_ = true });
  session.RunFor(3'000);
  EXPECT_TRUE(session.answered_);
  EXPECT_EQ(session.leader_.subscriptions_, 1);
}

TEST(ControlClient, LeavesLeaderThatOnlySendsKeepalives)
{
  ClientSession session({ .replyDelayMs_ = 60'000 });
  session.RunFor(2'500);
  EXPECT_FALSE(session.answered_);
  EXPECT_GE(session.leader_.subscriptions_, 2);
}

TEST(ControlClient, LeavesLeaderThatPushesWithoutAnswering)
{
  ClientSession session({ .replyDelayMs_ = 60'000, .pushes_ = true });
  session.RunFor(6'000);
  EXPECT_FALSE(session.answered_);
  EXPECT_GE(session.leader_.subscriptions_, 2);
}

TEST(ControlClient, FirstRequestAfterIdleIsNotOverdue)
{
  ClientSession session({});
  session.RunFor(200);
  ASSERT_TRUE(session.answered_);
  session.leader_.listener_.Send(session.leader_.link_, transport::Redirect{});
  session.RunFor(2'000);
  ASSERT_EQ(session.leader_.subscriptions_, 2);
  session.leader_.replyDelayMs_ = 300;
  session.SubmitOperation();
  session.RunFor(600);
  EXPECT_TRUE(session.answered_);
  EXPECT_EQ(session.leader_.subscriptions_, 2);
}

TEST(ControlClient, ConnectsToLeaderWithSlowHandshake)
{
  static constexpr int64_t kBlockMs = 500;
  EventLoop leaderLoop;
  SlowLeader leader(leaderLoop, {});
  // Each iteration of the leader's loop blocks for kBlockMs; a handshake takes
  // two iterations.
  Timer block(leaderLoop, [] {
    std::this_thread::sleep_for(std::chrono::milliseconds(kBlockMs));
  });
  block.StartRepeating(1);
  std::thread thread([&] { leaderLoop.Run(); });
  std::this_thread::sleep_for(std::chrono::milliseconds(kBlockMs / 4));
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
  Timer timeout(loop, [&] { loop.Stop(); });
  timeout.StartOnce(8 * kBlockMs);
  loop.Run();
  leaderLoop.Stop();
  thread.join();
  EXPECT_TRUE(registered);
}

} // namespace
} // namespace cactuswick::router

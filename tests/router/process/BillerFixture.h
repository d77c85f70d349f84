#pragma once

#include <cstdint>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include <gtest/gtest.h>

#include "cactuswick/model/process/Error.h"
#include "cactuswick/transport/connection/PeerListener.h"
#include "process/Biller.h"
#include "transport/connection/LoopbackCaller.h"

namespace cactuswick::router {

inline constexpr const char* kBudget = "w/prepaid";
inline constexpr uint16_t kPort = 18'972;
inline constexpr uint16_t kLenderPort = 18'973;
inline constexpr ledger::Incarnation kLender = 2;
inline constexpr int64_t kTimeoutMs = 30'000;
inline constexpr int64_t kHorizonMs = 9'000;
/// Maximum operations that a router sends to control in one batch.
inline constexpr size_t kMaxBatchOps = 512;

inline transport::Address
OwnAddress(uint16_t aPort = kPort)
{
  return { transport::ProcessLoopbackHost(), aPort };
}

/// Router that is asked for loans; the test decides its replies.
class FakeLender
{
public:
  explicit FakeLender(transport::EventLoop& aLoop)
    : loop_(aLoop)
    , listener_(aLoop,
                { .onMessage_ = [this](transport::LinkId aLink,
                                       const transport::PeerMessage& aOne) {
                  OnMessage(aLink, aOne);
                } })
  {
    EXPECT_TRUE(listener_.Listen(OwnAddress(kLenderPort)).ok());
  }

  const std::optional<transport::LendRequest>& Request() const
  {
    return request_;
  }

  /// Answers the open loan request; 0 refuses it.
  void Answer(ledger::Tokens aAmount)
  {
    listener_.Send(
      link_,
      transport::LendReply{ request_->call_, request_->budget_, aAmount });
    request_.reset();
  }

private:
  void OnMessage(transport::LinkId aLink,
                 const transport::PeerMessage& aMessage)
  {
    const auto* request = std::get_if<transport::LendRequest>(&aMessage);
    if (request != nullptr) {
      link_ = aLink;
      request_ = *request;
      loop_.Stop();
    }
  }

  transport::EventLoop& loop_;
  transport::PeerListener listener_;
  transport::LinkId link_ = 0;
  std::optional<transport::LendRequest> request_;
};

/// Biller connected to a control leader whose replies the test decides.
class BillerFixture : public testing::Test
{
protected:
  explicit BillerFixture(int64_t aReserveTimeoutMs = kTimeoutMs,
                         int64_t aReachableMs = kTimeoutMs)
    : leader_(loop_,
              { .onMessage_ =
                  [this](transport::LinkId aLink,
                         const transport::PeerMessage& aMessage) {
                    const auto* request =
                      std::get_if<transport::ProposeRequest>(&aMessage);
                    if (request != nullptr) {
                      OnRequest(aLink, *request);
                    }
                  } })
    , listening_(leader_.Listen(OwnAddress()))
    , control_(loop_,
               { .replicas_ = { OwnAddress() },
                 .reachableMs_ = aReachableMs,
                 .onRegistered_ = [](const ledger::Registered&) {} })
    , peers_(loop_, {})
    , biller_(
        loop_,
        { .control_ = control_,
          .peers_ = peers_,
          .config_ = config_,
          .metrics_ = metrics_,
          .reserveTimeoutMs_ = aReserveTimeoutMs,
          .reportsUsage_ = true,
          .grants_ = { .horizonMs_ = kHorizonMs, .extrapolates_ = true } })
    , timeout_(loop_, [this] { OnTimeout(); })
  {
    timeout_.StartOnce(kTimeoutMs);
  }

  /// Runs the loop until the leader has received an unanswered batch.
  ledger::RouterBatch NextBatch()
  {
    while (batch_.sequence_ <= answeredSequence_ && !timedOut_) {
      loop_.Run();
    }
    return batch_;
  }

  /// Answers the open batch: each grant request gets @p aGranted tokens.
  void Answer(ledger::Tokens aGranted)
  {
    Answer(ledger::GrantResult{ .granted_ = aGranted });
  }

  /// Answers the open batch: each grant request gets @p aResult.
  void Answer(const ledger::GrantResult& aResult)
  {
    ledger::BatchReply reply{ .sequence_ = batch_.sequence_ };
    for (const auto& op : batch_.ops_) {
      if (std::holds_alternative<ledger::AcquireGrant>(op)) {
        reply.results_.emplace_back(aResult);
      } else {
        reply.results_.emplace_back(ledger::EmptyResult{});
      }
    }
    answeredSequence_ = batch_.sequence_;
    leader_.Send(link_, transport::ProposeReply{ call_, std::move(reply) });
  }

  /// Answers the open batch and waits until the biller has handled the reply.
  ledger::RouterBatch AnswerAndWait(const ledger::GrantResult& aResult)
  {
    control_.Submit(ledger::Heartbeat{});
    Answer(aResult);
    return NextBatch();
  }

  /// Reserves tokens and counts the reservation once it is granted or refused.
  void Reserve(ledger::Tokens aAmount,
               int64_t aOwner = 0,
               bool aTakesUp = false)
  {
    biller_.Reserve({ .budget_ = kBudget,
                      .amount_ = aAmount,
                      .owner_ = aOwner,
                      .takesUp_ = aTakesUp },
                    [this](const absl::Status& aStatus) {
                      granted_ += aStatus.ok() ? 1 : 0;
                      if (!aStatus.ok()) {
                        refused_.push_back(model::KindOf(aStatus));
                      }
                      loop_.Stop();
                    });
  }

  /// Obtains a grant of 10,000 tokens and reserves 2,000 of them.
  void ReserveFromGrantOfTenThousand()
  {
    biller_.RequestInitialGrant(kBudget, 10'000);
    NextBatch();
    AnswerAndWait({ .granted_ = 10'000 });
    Answer(0);
    Reserve(2'000);
  }

  ledger::Tokens Lend(ledger::Tokens aAmount)
  {
    return biller_
      .OnLend({ .borrower_ = 2,
                .budget_ = kBudget,
                .want_ = aAmount,
                .minimum_ = aAmount })
      .amount_;
  }

  /// Adds another router that may lend to the configuration.
  void AddLender()
  {
    config_.Apply({ .revision_ = 1,
                    .routersChanged_ = true,
                    .routers_ = { { .incarnation_ = kLender,
                                    .peerAddress_ =
                                      OwnAddress(kLenderPort).ToString() } } });
  }

  /// Runs the loop until the lender has received a loan request.
  transport::LendRequest NextLoanRequest(const FakeLender& aLender)
  {
    while (!aLender.Request() && !timedOut_) {
      loop_.Run();
    }
    return aLender.Request().value_or(transport::LendRequest{});
  }

  void RunFor(int64_t aMs)
  {
    bool over = false;
    transport::Timer timer(loop_, [&] {
      over = true;
      loop_.Stop();
    });
    timer.StartOnce(aMs);
    while (!over && !timedOut_) {
      loop_.Run();
    }
  }

  void RunUntilGranted(size_t aCount)
  {
    while (granted_ < aCount && !timedOut_) {
      loop_.Run();
    }
  }

  /// Runs the loop until @p aCount reservations are granted or refused.
  void RunUntilCompleted(size_t aCount)
  {
    while (granted_ + refused_.size() < aCount && !timedOut_) {
      loop_.Run();
    }
  }

  static std::vector<ledger::AcquireGrant> GrantRequestsIn(
    const ledger::RouterBatch& aBatch,
    bool aIncludePrefetch = true)
  {
    std::vector<ledger::AcquireGrant> requests;
    for (const auto& op : aBatch.ops_) {
      const auto* request = std::get_if<ledger::AcquireGrant>(&op);
      if (request != nullptr && (aIncludePrefetch || !request->prefetch_)) {
        requests.push_back(*request);
      }
    }
    return requests;
  }

  static ledger::Tokens ReturnedIn(const ledger::RouterBatch& aBatch)
  {
    ledger::Tokens returned = 0;
    for (const auto& op : aBatch.ops_) {
      if (const auto* one = std::get_if<ledger::ReturnGrant>(&op)) {
        returned += one->amount_;
      }
    }
    return returned;
  }

  /// Denies grants until one is requested for the waiting reservations.
  std::vector<ledger::AcquireGrant> NextGrantRequests()
  {
    std::vector<ledger::AcquireGrant> requests;
    while (requests.empty() && !timedOut_) {
      Answer({ .elsewhere_ = 10'000 });
      requests = GrantRequestsIn(NextBatch(), false);
    }
    return requests;
  }

  transport::EventLoop loop_;
  telemetry::Metrics metrics_;
  ConfigView config_;
  transport::PeerListener leader_;
  absl::Status listening_;
  ControlClient control_;
  RouterPeers peers_;
  Biller biller_;
  bool timedOut_ = false;
  std::vector<model::ErrorKind> refused_;

private:
  void OnRequest(transport::LinkId aLink,
                 const transport::ProposeRequest& aRequest)
  {
    if (std::holds_alternative<ledger::RegisterRouter>(aRequest.command_)) {
      leader_.Send(aLink,
                   transport::ProposeReply{
                     aRequest.call_, ledger::Registered{ .incarnation_ = 1 } });
    }
    if (const auto* batch =
          std::get_if<ledger::RouterBatch>(&aRequest.command_)) {
      link_ = aLink;
      call_ = aRequest.call_;
      batch_ = *batch;
      loop_.Stop();
    }
  }

  void OnTimeout()
  {
    timedOut_ = true;
    ADD_FAILURE() << "timed out";
    loop_.Stop();
  }

  size_t granted_ = 0;
  transport::LinkId link_ = 0;
  transport::CallId call_ = 0;
  ledger::RouterBatch batch_;
  int64_t answeredSequence_ = 0;
  transport::Timer timeout_;
};

} // namespace cactuswick::router

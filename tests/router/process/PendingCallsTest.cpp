#include "process/PendingCalls.h"

#include <variant>
#include <vector>

#include <gtest/gtest.h>

#include "cactuswick/model/process/Error.h"

namespace cactuswick::router {
namespace {

using transport::CallId;
using transport::PeerMessage;

class PendingCallsTest : public testing::Test
{
protected:
  void Propose(CallId aId, int64_t aDeadlineMs)
  {
    calls_.Add(
      aId,
      { .message_ = transport::ProposeRequest{},
        .deadlineMs_ = aDeadlineMs,
        .onReply_ = [this](const absl::StatusOr<ledger::Reply>& aReply) {
          replies_.push_back(aReply.status());
        } });
  }

  void Query(CallId aId, int64_t aDeadlineMs)
  {
    calls_.Add(aId,
               { .message_ = transport::QueryRequest{},
                 .deadlineMs_ = aDeadlineMs,
                 .onQuery_ =
                   [this](const absl::StatusOr<transport::QueryReply>& aReply) {
                     replies_.push_back(aReply.status());
                   } });
  }

  PendingCalls calls_;
  std::vector<absl::Status> replies_;
};

TEST_F(PendingCallsTest, MessageCarriesCallId)
{
  const auto& message =
    calls_.Add(5, { .message_ = transport::ProposeRequest{} });
  EXPECT_EQ(std::get<transport::ProposeRequest>(message).call_, 5);
}

TEST_F(PendingCallsTest, CallCompletesOnce)
{
  Propose(1, 100);
  Query(2, 100);
  calls_.OnReply(transport::ProposeReply{ .call_ = 1 });
  calls_.OnReply(transport::ProposeReply{ .call_ = 1 });
  calls_.OnReply(transport::QueryReply{ .call_ = 2 });
  calls_.OnReply(transport::QueryReply{ .call_ = 2 });
  calls_.Expire(100);
  EXPECT_EQ(replies_,
            (std::vector<absl::Status>{ absl::OkStatus(), absl::OkStatus() }));
  EXPECT_TRUE(calls_.IsEmpty());
}

TEST_F(PendingCallsTest, CallFailsAtDeadline)
{
  Propose(1, 100);
  Query(2, 200);
  calls_.Expire(99);
  EXPECT_TRUE(replies_.empty());
  calls_.Expire(100);
  ASSERT_EQ(replies_.size(), 1U);
  EXPECT_EQ(model::KindOf(replies_.front()),
            model::ErrorKind::kControlUnreachable);
  EXPECT_FALSE(calls_.IsEmpty());
  calls_.Expire(200);
  EXPECT_EQ(replies_.size(), 2U);
  EXPECT_TRUE(calls_.IsEmpty());
}

TEST_F(PendingCallsTest, HookMayAddCall)
{
  calls_.Add(1,
             { .message_ = transport::ProposeRequest{},
               .onReply_ = [this](const absl::StatusOr<ledger::Reply>&) {
                 Propose(2, 100);
               } });
  calls_.Expire(0);
  EXPECT_FALSE(calls_.IsEmpty());
  EXPECT_TRUE(replies_.empty());
}

TEST_F(PendingCallsTest, ForEachVisitsCallsInOrder)
{
  Propose(2, 100);
  Propose(1, 100);
  std::vector<CallId> sent;
  calls_.ForEach([&](const PeerMessage& aMessage) {
    sent.push_back(std::get<transport::ProposeRequest>(aMessage).call_);
  });
  EXPECT_EQ(sent, (std::vector<CallId>{ 1, 2 }));
}

} // namespace
} // namespace cactuswick::router

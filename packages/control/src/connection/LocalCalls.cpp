#include "connection/LocalCalls.h"

#include <utility>
#include <vector>

#include "cactuswick/model/process/Error.h"

namespace cactuswick::control {

namespace {

using model::ErrorKind;
using model::MakeError;
using transport::CallId;

/// Timeout for an entry to be committed or a read to be confirmed.
constexpr int64_t kCallTimeoutMs = 3'000;

} // namespace

void
LocalCalls::Call::Fail(const absl::Status& aStatus) const
{
  if (onReply_) {
    onReply_(aStatus);
  }
  if (onQuery_) {
    onQuery_(aStatus);
  }
}

CallId
LocalCalls::Add(Call aCall, int64_t aNowMs)
{
  aCall.deadlineMs_ = aNowMs + kCallTimeoutMs;
  calls_[++lastCallId_] = std::move(aCall);
  return lastCallId_;
}

CallId
LocalCalls::Open(ReplyHook aHook, int64_t aNowMs)
{
  return Add({ .onReply_ = std::move(aHook) }, aNowMs);
}

CallId
LocalCalls::Open(QueryHook aHook, int64_t aNowMs)
{
  return Add({ .onQuery_ = std::move(aHook) }, aNowMs);
}

std::optional<LocalCalls::Call>
LocalCalls::Take(CallId aCall)
{
  const auto found = calls_.find(aCall);
  if (found == calls_.end()) {
    return std::nullopt;
  }
  Call call = std::move(found->second);
  calls_.erase(found);
  return call;
}

void
LocalCalls::Deliver(const transport::PeerMessage& aMessage)
{
  if (const auto* reply = std::get_if<transport::ProposeReply>(&aMessage)) {
    if (const auto call = Take(reply->call_)) {
      call->onReply_(reply->reply_);
    }
  } else if (const auto* answer =
               std::get_if<transport::QueryReply>(&aMessage)) {
    if (const auto call = Take(answer->call_)) {
      call->onQuery_(*answer);
    }
  } else if (const auto* redirect =
               std::get_if<transport::Redirect>(&aMessage)) {
    if (const auto call = Take(redirect->call_)) {
      call->Fail(
        MakeError(ErrorKind::kNotLeader, "", "this replica is not the leader"));
    }
  }
}

void
LocalCalls::Expire(int64_t aNowMs)
{
  std::vector<CallId> expired;
  for (const auto& [id, call] : calls_) {
    if (aNowMs >= call.deadlineMs_) {
      expired.push_back(id);
    }
  }
  for (const CallId id : expired) {
    if (const auto call = Take(id)) {
      call->Fail(MakeError(
        ErrorKind::kControlUnreachable, "", "no quorum answered in time"));
    }
  }
}

} // namespace cactuswick::control

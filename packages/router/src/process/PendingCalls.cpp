#include "process/PendingCalls.h"

#include <utility>
#include <variant>
#include <vector>

#include "cactuswick/model/process/Error.h"

namespace cactuswick::router {

using transport::CallId;
using transport::PeerMessage;

const PeerMessage&
PendingCalls::Add(CallId aId, PendingCall aCall)
{
  std::visit(
    [aId](auto& aMessage) {
      if constexpr (requires { aMessage.call_; }) {
        aMessage.call_ = aId;
      }
    },
    aCall.message_);
  return (calls_[aId] = std::move(aCall)).message_;
}

std::optional<PendingCall>
PendingCalls::Take(CallId aId)
{
  const auto found = calls_.find(aId);
  if (found == calls_.end()) {
    return std::nullopt;
  }
  PendingCall call = std::move(found->second);
  calls_.erase(found);
  return call;
}

void
PendingCalls::OnReply(const transport::ProposeReply& aReply)
{
  if (const auto call = Take(aReply.call_)) {
    call->onReply_(aReply.reply_);
  }
}

void
PendingCalls::OnReply(const transport::QueryReply& aReply)
{
  if (const auto call = Take(aReply.call_)) {
    call->onQuery_(aReply);
  }
}

void
PendingCalls::Expire(int64_t aNowMs)
{
  std::vector<CallId> expired;
  for (const auto& [id, call] : calls_) {
    if (aNowMs >= call.deadlineMs_) {
      expired.push_back(id);
    }
  }
  for (const CallId id : expired) {
    const auto call = Take(id);
    const auto status =
      model::MakeError(model::ErrorKind::kControlUnreachable,
                       "",
                       "the control leader did not answer in time");
    if (call && call->onReply_) {
      call->onReply_(status);
    }
    if (call && call->onQuery_) {
      call->onQuery_(status);
    }
  }
}

void
PendingCalls::ForEach(
  const std::function<void(const PeerMessage&)>& aHook) const
{
  for (const auto& [id, call] : calls_) {
    aHook(call.message_);
  }
}

} // namespace cactuswick::router

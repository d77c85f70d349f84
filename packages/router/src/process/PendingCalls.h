#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

#include <absl/status/statusor.h>

#include "cactuswick/ledger/version/Command.h"
#include "cactuswick/transport/connection/PeerMessage.h"

namespace cactuswick::router {

/// An operator's question that has not been answered.
struct PendingCall
{
  using ReplyHook = std::function<void(absl::StatusOr<ledger::Reply>)>;
  using QueryHook = std::function<void(absl::StatusOr<transport::QueryReply>)>;

  /// To be sent again when the line to control changes.
  transport::PeerMessage message_;
  int64_t deadlineMs_ = 0;
  /// One of the two is set, by the kind of the message.
  ReplyHook onReply_;
  QueryHook onQuery_;
};

/// The questions that wait for control's answer. Each is answered once: by
/// control, or by an error when its time is up. Pure.
class PendingCalls
{
public:
  /// Numbers the message and keeps the call; returns what is to be sent.
  const transport::PeerMessage& Add(transport::CallId aId, PendingCall aCall);
  bool IsEmpty() const { return calls_.empty(); }

  /// Answers of calls that are not open are dropped.
  void OnReply(const transport::ProposeReply& aReply);
  void OnReply(const transport::QueryReply& aReply);
  /// Ends the calls whose time is up.
  void Expire(int64_t aNowMs);

  void ForEach(
    const std::function<void(const transport::PeerMessage&)>& aHook) const;

private:
  /// Takes the call out first, as its hook may open another.
  std::optional<PendingCall> Take(transport::CallId aId);

  std::map<transport::CallId, PendingCall> calls_;
};

} // namespace cactuswick::router

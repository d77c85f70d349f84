#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

#include <absl/status/statusor.h>

#include "cactuswick/ledger/version/Command.h"
#include "cactuswick/transport/connection/PeerMessage.h"

namespace cactuswick::router {

/// Proposal or query of an operator that has not been answered.
struct PendingCall
{
  using ReplyHook = std::function<void(absl::StatusOr<ledger::Reply>)>;
  using QueryHook = std::function<void(absl::StatusOr<transport::QueryReply>)>;

  /// Resent when the link to control changes.
  transport::PeerMessage message_;
  int64_t deadlineMs_ = 0;
  /// Exactly one hook is set: @c onReply_ for a proposal or a change of
  /// members, @c onQuery_ for a query.
  ReplyHook onReply_;
  QueryHook onQuery_;
};

/// Calls that wait for control's reply. Each completes once: with the reply, or
/// with an error at its deadline. Performs no I/O; the caller supplies the
/// time.
class PendingCalls
{
public:
  /// Stores the call and returns its message, numbered with @p aId, to be sent.
  const transport::PeerMessage& Add(transport::CallId aId, PendingCall aCall);
  bool IsEmpty() const { return calls_.empty(); }

  /// Completes a call; replies to calls that are not pending are ignored.
  void OnReply(const transport::ProposeReply& aReply);
  void OnReply(const transport::QueryReply& aReply);
  /// Fails the calls whose deadline has passed.
  void Expire(int64_t aNowMs);

  void ForEach(
    const std::function<void(const transport::PeerMessage&)>& aHook) const;

private:
  /// Removes the call before its hook runs, as the hook may add another one.
  std::optional<PendingCall> Take(transport::CallId aId);

  std::map<transport::CallId, PendingCall> calls_;
};

} // namespace cactuswick::router

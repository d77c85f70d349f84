#pragma once

#include <functional>
#include <map>

#include <absl/status/statusor.h>

#include "cactuswick/transport/connection/PeerMessage.h"
#include "cactuswick/transport/connection/PeerListener.h"

namespace cactuswick::control {

/// Link id that stands for callers inside this process.
inline constexpr transport::LinkId kLocalLink = -1;

/// Pending calls to the control service from inside its own process.
class LocalCalls
{
public:
  using ReplyHook = std::function<void(absl::StatusOr<ledger::Reply>)>;
  using QueryHook = std::function<void(absl::StatusOr<transport::QueryReply>)>;

  /// Registers a call and returns its id.
  transport::CallId Open(ReplyHook aHook, int64_t aNowMs);
  transport::CallId Open(QueryHook aHook, int64_t aNowMs);

  /// Passes an answer that the service sent to @c kLocalLink to its caller.
  void Deliver(const transport::PeerMessage& aMessage);

  /// Fails calls that were not answered in time with kControlUnreachable.
  void Expire(int64_t aNowMs);

private:
  struct Call
  {
    ReplyHook onReply_;
    QueryHook onQuery_;
    int64_t deadlineMs_ = 0;

    void Fail(const absl::Status& aStatus) const;
  };

  transport::CallId Add(Call aCall, int64_t aNowMs);
  std::optional<Call> Take(transport::CallId aCall);

  transport::CallId lastCallId_ = 0;
  std::map<transport::CallId, Call> calls_;
};

} // namespace cactuswick::control

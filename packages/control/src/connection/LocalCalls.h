#pragma once

#include <functional>
#include <map>

#include <absl/status/statusor.h>

#include "cactuswick/transport/connection/PeerMessage.h"
#include "cactuswick/transport/connection/PeerListener.h"

namespace cactuswick::control {

/// Stands for callers inside this process among the links.
inline constexpr transport::LinkId kLocalLink = -1;

/// Calls of the control service from inside its own process.
class LocalCalls
{
public:
  using ReplyHook = std::function<void(absl::StatusOr<ledger::Reply>)>;
  using QueryHook = std::function<void(absl::StatusOr<transport::QueryReply>)>;

  transport::CallId Open(ReplyHook aHook, int64_t aNowMs);
  transport::CallId Open(QueryHook aHook, int64_t aNowMs);

  /// Takes an answer of the service for @c kLocalLink.
  void Deliver(const transport::PeerMessage& aMessage);

  /// Fails calls that no answer came for with kControlUnreachable.
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

  transport::CallId last_ = 0;
  std::map<transport::CallId, Call> calls_;
};

} // namespace cactuswick::control

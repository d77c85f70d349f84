#pragma once

#include <cstdint>

namespace cactuswick::router {

/// Times by which the steps of a forwarded request have to be done, in
/// milliseconds of EventLoop::NowMs().
struct ForwardDeadlines
{
  /// The request is refused if it still waits for an endpoint.
  int64_t queueMs_ = 0;
  /// A response has to be sent by then to reach the caller in time. Moved
  /// forward by an estimate of the link's delay, so it only bounds what has not
  /// been answered yet.
  int64_t attemptMs_ = 0;
  /// Endpoints work on the request until then: a little longer, as the estimate
  /// may be too long, and an answer that is under way may still arrive.
  int64_t endpointMs_ = 0;
  /// The caller stops waiting.
  int64_t callerMs_ = 0;

  /// Returns when a request without a complete response ends. One that is under
  /// way may go on for as long as its caller waits.
  int64_t EndMs(bool aIsResponseUnderWay) const
  {
    return aIsResponseUnderWay ? callerMs_ : attemptMs_;
  }

  bool operator==(const ForwardDeadlines&) const = default;
};

/// Returns the deadlines of a request that was read at @p aStartMs and whose
/// caller waits for @p aWaitMs, over a link with an estimated delay of
/// @p aLinkDelayMs.
ForwardDeadlines
DeadlinesOf(int64_t aStartMs, int64_t aWaitMs, int64_t aLinkDelayMs);

} // namespace cactuswick::router

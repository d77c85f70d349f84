#include "request/ForwardDeadlines.h"

#include <algorithm>

namespace cactuswick::router {

namespace {

/// A request waits for an endpoint for at most the caller's time divided by
/// this.
constexpr int64_t kQueueTimeDivisor = 2;
/// A deadline is moved forward by at most the caller's time divided by this for
/// packets that wait at this VM's link.
constexpr int64_t kLinkDelayDivisor = 4;

} // namespace

ForwardDeadlines
DeadlinesOf(int64_t aStartMs, int64_t aWaitMs, int64_t aLinkDelayMs)
{
  // The request has waited at the link before it was read, and its response
  // will; a round trip is both.
  const int64_t atLinkMs = std::min(aLinkDelayMs, aWaitMs / kLinkDelayDivisor);
  return { .queueMs_ = aStartMs + aWaitMs / kQueueTimeDivisor,
           .attemptMs_ = aStartMs + aWaitMs - atLinkMs,
           .callerMs_ = aStartMs + aWaitMs };
}

} // namespace cactuswick::router

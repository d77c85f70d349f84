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
/// Time beyond the estimated deadline that endpoints get. Callers that have
/// given up leave them at work for no longer than this.
constexpr int64_t kEndpointSlackMs = 400;

} // namespace

ForwardDeadlines
DeadlinesOf(int64_t aStartMs, int64_t aWaitMs, int64_t aLinkDelayMs)
{
  // The request has waited at the link before it was read, and its response
  // will; a round trip is both.
  const int64_t atLinkMs = std::min(aLinkDelayMs, aWaitMs / kLinkDelayDivisor);
  const int64_t callerMs = aStartMs + aWaitMs;
  const int64_t attemptMs = callerMs - atLinkMs;
  return { .queueMs_ = aStartMs + aWaitMs / kQueueTimeDivisor,
           .attemptMs_ = attemptMs,
           .endpointMs_ = std::min(callerMs, attemptMs + kEndpointSlackMs),
           .callerMs_ = callerMs };
}

} // namespace cactuswick::router

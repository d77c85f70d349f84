#include "cactuswick/routing/process/LinkDelay.h"

#include <algorithm>

namespace cactuswick::routing {

namespace {

constexpr int64_t kWindowMs = 1'000;
/// The estimate is the shortest delay; others are up to this many times as
/// long.
constexpr int64_t kDelaySpreadFactor = 2;

} // namespace

void
LinkDelay::Observe(int64_t aRoundTripMs, int64_t aNowMs)
{
  const int64_t number = aNowMs / kWindowMs;
  if (number != current_.number_) {
    previous_ = current_;
    current_ = { .number_ = number, .shortestMs_ = aRoundTripMs };
  }
  current_.shortestMs_ = std::min(current_.shortestMs_, aRoundTripMs);
}

int64_t
LinkDelay::EstimateMs(int64_t aNowMs) const
{
  const int64_t oldest = aNowMs / kWindowMs - 1;
  if (current_.number_ < oldest) {
    return 0;
  }
  return previous_.number_ < oldest
           ? current_.shortestMs_
           : std::min(previous_.shortestMs_, current_.shortestMs_);
}

int64_t
LinkDelay::ConnectTimeoutMs(int64_t aBaseTimeoutMs, int64_t aNowMs) const
{
  return aBaseTimeoutMs + kDelaySpreadFactor * EstimateMs(aNowMs);
}

} // namespace cactuswick::routing

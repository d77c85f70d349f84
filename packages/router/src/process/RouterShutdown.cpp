#include "process/RouterShutdown.h"

#include <algorithm>
#include <utility>

#include "cactuswick/telemetry/process/Log.h"

namespace cactuswick::router {

namespace {

using telemetry::Level;
using telemetry::Log;
using telemetry::Part;

/// Timeout for the deregistration to be committed.
constexpr int64_t kDeregisterTimeoutMs = 3'000;
/// Time to send the replies of requests that the timeout has ended, and the
/// least time for the last replies before the router stops.
constexpr int64_t kReplyTimeoutMs = 300;
/// All requests are accepted during the first part of the grace period, its
/// length divided by this, so that each has most of the period to finish.
constexpr int64_t kAcceptAllDivisor = 3;

} // namespace

RouterShutdown::RouterShutdown(RouterShutdownOptions aOptions)
  : options_(std::move(aOptions))
{
}

void
RouterShutdown::Begin(int64_t aNowMs)
{
  if (phase_ != Phase::kServing) {
    return;
  }
  phase_ = Phase::kLeaving;
  const bool wasRegistered = options_.isRegistered_();
  refuseFromMs_ = aNowMs + (wasRegistered ? options_.leaveMs_ : 0);
  drainByMs_ =
    options_.drainMs_ == 0 ? INT64_MAX : refuseFromMs_ + options_.drainMs_;
  acceptAllUntilMs_ = refuseFromMs_;
  if (options_.graceMs_) {
    drainByMs_ = aNowMs + *options_.graceMs_;
    acceptAllUntilMs_ = aNowMs + *options_.graceMs_ / kAcceptAllDivisor;
  }
  if (wasRegistered) {
    options_.onLeave_();
  }
  Log(Part::kRouter, Level::kInfo, "leaving the entry list");
}

bool
RouterShutdown::Accepts(int64_t aNowMs, int64_t aDeadlineMs) const
{
  if (phase_ == Phase::kLeaving) {
    return aNowMs < acceptAllUntilMs_ || aDeadlineMs <= drainByMs_;
  }
  return phase_ == Phase::kServing;
}

void
RouterShutdown::OnTick(int64_t aNowMs)
{
  if (phase_ == Phase::kLeaving && aNowMs >= refuseFromMs_) {
    phase_ = Phase::kDraining;
    Log(Part::kRouter, Level::kInfo, "draining, refusing new requests");
  }
  if (phase_ == Phase::kDraining) {
    CheckDrained(aNowMs);
  }
  if (phase_ == Phase::kDeregistering && aNowMs >= deregisterByMs_) {
    OnDeregistered(aNowMs);
  }
  if (phase_ == Phase::kFlushing &&
      (options_.isIdle_() || aNowMs >= flushByMs_)) {
    Stop(absl::OkStatus());
  }
}

void
RouterShutdown::OnDeregistered(int64_t aNowMs)
{
  if (phase_ != Phase::kDeregistering) {
    return;
  }
  // Requests have been read since the router was idle, and a reply that is
  // still queued when the process ends is lost.
  phase_ = Phase::kFlushing;
  flushByMs_ = aNowMs + kReplyTimeoutMs;
  if (options_.graceMs_) {
    flushByMs_ = std::max(flushByMs_, drainByMs_);
  }
  options_.onStopReading_();
}

void
RouterShutdown::CheckDrained(int64_t aNowMs)
{
  const bool idle = options_.isIdle_();
  if (!idle && !HasTimedOut(aNowMs)) {
    return;
  }
  phase_ = Phase::kDeregistering;
  deregisterByMs_ = aNowMs + kDeregisterTimeoutMs;
  if (options_.graceMs_) {
    deregisterByMs_ = std::clamp(drainByMs_, aNowMs, deregisterByMs_);
  }
  if (!idle) {
    Stop(absl::OkStatus());
  } else if (options_.isRegistered_()) {
    options_.onDeregister_();
  } else {
    OnDeregistered(aNowMs);
  }
}

bool
RouterShutdown::HasTimedOut(int64_t aNowMs)
{
  if (aNowMs < drainByMs_) {
    return false;
  }
  if (!std::exchange(timedOut_, true)) {
    Log(Part::kRouter, Level::kWarning, "ending the requests in flight");
    options_.onStopReading_();
    options_.onDrainTimeout_();
  }
  return aNowMs - drainByMs_ >= kReplyTimeoutMs;
}

void
RouterShutdown::Stop(absl::Status aStatus)
{
  if (std::exchange(phase_, Phase::kStopped) != Phase::kStopped) {
    Log(Part::kRouter, Level::kInfo, "stopped");
    options_.onStopped_(std::move(aStatus));
  }
}

} // namespace cactuswick::router

#pragma once

#include <cstdint>
#include <functional>
#include <optional>

#include <absl/status/status.h>

namespace cactuswick::router {

struct RouterShutdownOptions
{
  /// Time for which callers may use an outdated entry list.
  int64_t leaveMs_ = 0;
  /// Timeout for requests in flight after that; 0 for no limit.
  int64_t drainMs_ = 0;
  /// Timeout from the start of the shutdown to the deregistration; replaces
  /// @c drainMs_.
  std::optional<int64_t> graceMs_;
  /// Returns whether the router is registered with control, so that callers may
  /// know its address.
  std::function<bool()> isRegistered_;
  /// Returns whether no request is in flight and no settlement is pending.
  std::function<bool()> isIdle_;
  /// Ends the requests that are still in flight at the timeout, each with a
  /// reply if its response has not begun. Called at most once.
  std::function<void()> onDrainTimeout_;
  /// Removes the router from the entry list.
  std::function<void()> onLeave_;
  /// Returns the router's grants and deregisters it; @c OnDeregistered is
  /// called afterwards.
  std::function<void()> onDeregister_;
  /// Accepts no more connections and reads no more requests.
  std::function<void()> onStopReading_ = [] {};
  /// Called once.
  std::function<void(absl::Status)> onStopped_;
};

/// State machine of a router's shutdown: leaves the entry list and serves while
/// callers may use an outdated one, refuses new requests until those in flight
/// are done or the timeout ends them, deregisters from control, reads no more
/// requests, sends the last replies, and stops. The caller supplies the time.
class RouterShutdown
{
public:
  explicit RouterShutdown(RouterShutdownOptions aOptions);

  /// Begins the shutdown; later calls have no effect.
  void Begin(int64_t aNowMs);
  void OnTick(int64_t aNowMs);
  /// The router has been deregistered, or control has not replied.
  void OnDeregistered(int64_t aNowMs);
  /// Stops at once.
  void Stop(absl::Status aStatus);

  /// Returns whether the router has left the entry list.
  bool IsLeaving() const { return phase_ >= Phase::kLeaving; }
  bool RefusesNew() const { return phase_ >= Phase::kDraining; }
  /// Returns whether a new request is accepted that ends by @p aDeadlineMs. In
  /// a grace period, late requests are accepted only if they end within it.
  bool Accepts(int64_t aNowMs, int64_t aDeadlineMs) const;
  /// Returns whether deregistration has begun; after it no heartbeat is sent.
  bool IsDeregistered() const { return phase_ >= Phase::kDeregistering; }

private:
  enum class Phase
  {
    kServing,
    /// Off the entry list; callers may still use an outdated one.
    kLeaving,
    /// New requests are refused; those in flight continue.
    kDraining,
    kDeregistering,
    /// No more requests are read; the replies to those that were are sent.
    kFlushing,
    kStopped,
  };

  void CheckDrained(int64_t aNowMs);
  /// Ends the requests in flight; returns whether the time to send their
  /// replies is over as well.
  bool HasTimedOut(int64_t aNowMs);

  RouterShutdownOptions options_;
  Phase phase_ = Phase::kServing;
  int64_t acceptAllUntilMs_ = 0;
  int64_t refuseFromMs_ = 0;
  int64_t drainByMs_ = 0;
  bool timedOut_ = false;
  int64_t deregisterByMs_ = 0;
  int64_t flushByMs_ = 0;
};

} // namespace cactuswick::router

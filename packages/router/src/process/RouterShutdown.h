#pragma once

#include <cstdint>
#include <functional>
#include <optional>

#include <absl/status/status.h>

namespace cactuswick::router {

struct RouterShutdownOptions
{
  /// Callers may hold an old entry list for this long.
  int64_t leaveMs_ = 0;
  /// Longest time for requests in flight after that; 0 for no limit.
  int64_t drainMs_ = 0;
  /// Longest time of the whole shutdown up to the goodbye, in place of
  /// @c drainMs_.
  std::optional<int64_t> graceMs_;
  /// Control knows this router, so that callers may know it.
  std::function<bool()> isRegistered_;
  /// No request is in flight, and nothing waits to be settled.
  std::function<bool()> isIdle_;
  /// The router is to leave the entry list.
  std::function<void()> onLeave_;
  /// What the router holds is to be given back; @c Stop follows.
  std::function<void()> onDeregister_;
  /// Called once.
  std::function<void(absl::Status)> onStopped_;
};

/// The steps of a router's shutdown: off the entry list, on serving while
/// callers hold an old one, then refusing new requests until those in flight
/// are done, goodbye to control, end. Times come from the caller.
class RouterShutdown
{
public:
  explicit RouterShutdown(RouterShutdownOptions aOptions);

  /// Begins; does nothing once it has begun.
  void Begin(int64_t aNowMs);
  void OnTick(int64_t aNowMs);
  /// Ends it at once.
  void Stop(absl::Status aStatus);

  /// Off the entry list.
  bool IsLeaving() const { return phase_ >= Phase::kLeaving; }
  bool RefusesNew() const { return phase_ >= Phase::kDraining; }
  /// Control hears no more of this router.
  bool HasDeregistered() const { return phase_ >= Phase::kDeregistering; }

private:
  enum class Phase
  {
    kServing,
    /// Off the entry list; callers may still hold an old one.
    kLeaving,
    /// New requests are refused; those in flight go on.
    kDraining,
    kDeregistering,
    kStopped,
  };

  void CheckDrained(int64_t aNowMs);

  RouterShutdownOptions options_;
  Phase phase_ = Phase::kServing;
  int64_t refuseFromMs_ = 0;
  int64_t drainByMs_ = 0;
  int64_t deregisterByMs_ = 0;
};

} // namespace cactuswick::router

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "cactuswick/transport/connection/PeerListener.h"

namespace cactuswick::control {

/// Shortest interval between two configuration pushes to one subscriber.
inline constexpr int64_t kPushIntervalMs = 100;
/// Limits of the pushes in one turn of the event loop; one push is always
/// allowed. With a turn every 20 ms, these limits send 400 KB to each of 340
/// subscribers within 2 s.
inline constexpr int64_t kTurnPushes = 16;
inline constexpr int64_t kTurnPushBytes = int64_t{ 2 } << 20;

/// A router that has subscribed to the configuration.
struct Subscriber
{
  int64_t incarnation_ = 0;
  int64_t revision_ = 0;
  /// Whether the replicas and endpoints were sent, which a new subscriber
  /// needs besides the configuration.
  bool initialStateSent_ = false;
  int64_t lastPushMs_ = -kPushIntervalMs;

  bool operator==(const Subscriber&) const = default;
};

/// Pushes that are still allowed in this turn of the event loop.
struct PushAllowance
{
  int64_t pushes_ = kTurnPushes;
  int64_t bytes_ = kTurnPushBytes;

  bool IsExhausted() const { return pushes_ <= 0 || bytes_ <= 0; }
  void Spend(int64_t aBytes);
  bool operator==(const PushAllowance&) const = default;
};

/// A link with more queued bytes than this is busy with an earlier push.
inline constexpr size_t kBusyLinkBytes = size_t{ 32 } << 10;

/// Returns the links of the subscribers that are behind @p aRevision and may be
/// sent a push now: new subscribers first, then the ones with the oldest push.
/// A link that is busy with an earlier push is skipped until it has drained,
/// then gets the newest state in one push: large configurations may change
/// faster than a link can carry them.
std::vector<transport::LinkId>
DuePushes(const std::map<transport::LinkId, Subscriber>& aSubscribers,
          int64_t aRevision,
          int64_t aNowMs,
          const std::function<size_t(transport::LinkId)>& aPendingBytes);

} // namespace cactuswick::control

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "cactuswick/transport/connection/PeerListener.h"

namespace cactuswick::control {

/// Shortest time between two pushes of configuration to one subscriber.
inline constexpr int64_t kPushIntervalMs = 100;
/// Most that is pushed in one turn of the loop; one push always fits. At a
/// turn each 20 ms, 340 subscribers get 400 KB each within 2 s.
inline constexpr int64_t kTurnPushes = 16;
inline constexpr int64_t kTurnPushBytes = int64_t{ 2 } << 20;

/// A router that wants configuration.
struct Subscriber
{
  int64_t incarnation_ = 0;
  int64_t revision_ = 0;
  /// Whether it was told all that a newcomer needs.
  bool initialStateSent_ = false;
  int64_t lastPushMs_ = -kPushIntervalMs;

  bool operator==(const Subscriber&) const = default;
};

/// What may still be pushed in this turn.
struct PushAllowance
{
  int64_t pushes_ = kTurnPushes;
  int64_t bytes_ = kTurnPushBytes;

  bool IsExhausted() const { return pushes_ <= 0 || bytes_ <= 0; }
  void Spend(int64_t aBytes);
  bool operator==(const PushAllowance&) const = default;
};

/// A link with more bytes than this under way is still taking what it was sent.
inline constexpr size_t kBusyLinkBytes = size_t{ 32 } << 10;

/// Subscribers that are behind @p aRevision and may be sent to now: newcomers
/// first, then whoever was sent to longest ago. A link that is still taking the
/// last push waits, and is then sent the newest state at once. Answers the load
/// of large configurations that follow each other faster than links carry.
std::vector<transport::LinkId>
DuePushes(const std::map<transport::LinkId, Subscriber>& aSubscribers,
          int64_t aRevision,
          int64_t aNowMs,
          const std::function<size_t(transport::LinkId)>& aPendingBytes);

} // namespace cactuswick::control

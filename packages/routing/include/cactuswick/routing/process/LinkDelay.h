#pragma once

#include <cstdint>

namespace cactuswick::routing {

/// Estimates how long packets wait at this VM's own link, from the times that
/// connections to different peers took to be established. A slow path delays
/// some of them, a full link all: the estimate is the shortest recent one.
/// Replies of peers don't count, since they contain the peers' own work.
class LinkDelay
{
public:
  /// Records a round trip that ended now.
  void Observe(int64_t aRoundTripMs, int64_t aNowMs);

  /// Returns the shortest round trip of the last one to two seconds in
  /// milliseconds; 0 if there was none.
  int64_t EstimateMs(int64_t aNowMs) const;

  /// Returns how long to wait for a connection to a peer that is given
  /// @p aBaseTimeoutMs on a link without delay, in milliseconds. On a full link
  /// a shorter wait takes live peers for unreachable, one after the other.
  int64_t ConnectTimeoutMs(int64_t aBaseTimeoutMs, int64_t aNowMs) const;

private:
  /// Shortest round trip that ended in one window of time.
  struct Window
  {
    int64_t number_ = -1;
    int64_t shortestMs_ = 0;
  };

  Window current_;
  Window previous_;
};

} // namespace cactuswick::routing

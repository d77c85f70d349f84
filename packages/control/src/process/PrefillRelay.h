#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include "cactuswick/routing/process/PrefillSum.h"
#include "cactuswick/transport/connection/EncodedMessage.h"
#include "cactuswick/transport/connection/PeerMessage.h"

namespace cactuswick::control {

struct PrefillRelayOptions
{
  /// Least interval of the sums; 0 if none are sent.
  int64_t intervalMs_ = 250;
  /// Bytes per second that all sums together may take at the leader.
  int64_t maxBytesPerS_ = 524'288;
  /// Returns the routers that are connected to this replica.
  std::function<size_t()> routers_;
  /// Sends a message to every router that is connected to this replica.
  std::function<void(const transport::EncodedMessage&)> sendToRouters_;
};

/// Sums at the leader what routers placed at engines and the engines have not
/// read yet, and sends the sum to all routers. Soft state: a new leader begins
/// with none. The interval grows with the routers, so that the bytes per second
/// stay bounded; routers report by the interval that they are told.
class PrefillRelay
{
public:
  explicit PrefillRelay(PrefillRelayOptions aOptions);

  /// Takes the report of a router; other gossip is ignored.
  void OnGossip(const transport::Gossip& aGossip, int64_t aNowMs);
  void OnTick(bool aIsLeader, int64_t aNowMs);

  /// Interval of the last sum.
  int64_t IntervalMs() const { return currentIntervalMs_; }
  /// Pending tokens of the engine with most in the last sum.
  int64_t BusiestTokens() const { return busiestTokens_; }

private:
  void SendSum(int64_t aNowMs);
  void LogSum(const std::string& aBusiest, size_t aBytes, int64_t aNowMs);

  PrefillRelayOptions options_;
  routing::PrefillSum sum_;
  int64_t currentIntervalMs_;
  int64_t busiestTokens_ = 0;
  int64_t lastSumMs_ = 0;
  int64_t lastLogMs_ = 0;
  /// The last sum listed an engine.
  bool wasBusy_ = false;
};

} // namespace cactuswick::control

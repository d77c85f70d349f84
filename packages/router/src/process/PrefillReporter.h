#pragma once

#include <cstdint>
#include <functional>

#include "cactuswick/ledger/request/RouterOp.h"
#include "cactuswick/routing/process/EndpointTable.h"
#include "cactuswick/transport/connection/PeerMessage.h"

namespace cactuswick::router {

struct PrefillReporterOptions
{
  /// Interval of the leader's sums until it tells its own; 0 if this router
  /// neither reports nor uses sums.
  int64_t intervalMs_ = 250;
  routing::EndpointTable& endpoints_;
  /// Returns the incarnation of this router.
  std::function<ledger::Incarnation()> self_;
  /// Sends a message to the leader; it may be lost.
  std::function<void(const transport::PeerMessage&)> send_;
};

/// Reports to the leader what this router placed at engines and they have not
/// read yet, and takes in the sum over all routers.
class PrefillReporter
{
public:
  explicit PrefillReporter(PrefillReporterOptions aOptions);

  /// Reports if it is time; for each tick of the router.
  void OnTick(int64_t aNowMs);
  /// Takes in a sum; other gossip is ignored.
  void OnGossip(const transport::Gossip& aGossip, int64_t aNowMs);

private:
  PrefillReporterOptions options_;
  int64_t sumIntervalMs_;
  int64_t lastReportMs_ = 0;
  /// The last report listed an engine.
  bool wasBusy_ = false;
};

} // namespace cactuswick::router

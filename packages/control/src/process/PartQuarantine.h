#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "cactuswick/ledger/version/Ledger.h"
#include "cactuswick/routing/process/SuspectParts.h"
#include "cactuswick/telemetry/process/Metrics.h"
#include "cactuswick/transport/connection/PeerMessage.h"

namespace cactuswick::control {

struct PartQuarantineOptions
{
  /// Crashes that prove a part harmful; 0 turns the quarantine off.
  int64_t crashes_ = 3;
  /// How long crashes count as evidence.
  int64_t windowMs_ = 600'000;
  /// Time until the first probe of a quarantined part.
  int64_t probeIntervalMs_ = 30'000;
  const ledger::Ledger& ledger_;
  telemetry::Metrics& metrics_;
  std::function<void(ledger::Command)> propose_;
  /// Sends a message to every router that is connected to this replica.
  std::function<void(const transport::PeerMessage&)> sendToRouters_;
};

/// Combines the routers' reports of crashed endpoints at the control leader and
/// quarantines the prompt parts that crash them.
///
/// Before a part is quarantined, all routers are asked whether an endpoint has
/// responded to it since. The reports are kept in memory only: routers send
/// theirs again to a new leader.
class PartQuarantine
{
public:
  explicit PartQuarantine(PartQuarantineOptions aOptions);

  /// Handles the evidence of a router.
  void On(const transport::CrashEvidence& aEvidence, int64_t aNowMs);
  void OnTick(bool aIsLeader, int64_t aNowMs);

private:
  /// Commits the quarantine of the parts with sufficient evidence.
  void Decide(int64_t aNowMs);
  /// Updates the parts about which routers report responses.
  void UpdateWatch(const std::vector<routing::PartEvidence>& aEvidence,
                   int64_t aNowMs);
  bool WasWatched(const std::string& aPart, int64_t aNowMs) const;
  bool IsKnown(const std::string& aPart) const;
  void Propose(const routing::PartEvidence& aEvidence, int64_t aNowMs);

  PartQuarantineOptions options_;
  routing::SuspectParts evidence_;
  /// Time from which routers report responses, by part.
  std::map<std::string, int64_t> watchedSinceMs_;
  /// Time of the proposal of a quarantine that is not committed yet.
  std::map<std::string, int64_t> proposedMs_;
  int64_t lastDecisionMs_ = 0;
  int64_t lastWatchMs_ = 0;
  /// Time at which a router last repeated its reports, as after a partition.
  int64_t lastReconnectMs_ = 0;
  bool changed_ = false;
};

} // namespace cactuswick::control

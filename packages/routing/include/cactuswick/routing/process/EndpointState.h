#pragma once

#include <cstdint>
#include <map>

#include "cactuswick/ledger/request/RouterOp.h"
#include "cactuswick/model/version/Announcement.h"
#include "cactuswick/routing/process/EndpointSignals.h"

namespace cactuswick::routing {

/// What one router knows of an endpoint.
struct EndpointState
{
  model::Announcement announcement_;
  /// Time of the announcement on this router's clock.
  int64_t announcedMs_ = 0;
  /// Requests of this router at the endpoint.
  int64_t inFlight_ = 0;
  /// Adaptive limit of @c inFlight_.
  double window_ = 1;
  /// Failures since the last request that was served.
  int64_t failures_ = 0;
  int64_t ejectedUntilMs_ = 0;
  /// Prefill tokens of prompts placed there and not yet processed.
  ledger::Tokens pendingPrefillTokens_ = 0;
  /// Moving average of prefill time beyond the expected one, as of
  /// @c excessDelayAtMs_; decays with time.
  double excessDelayMs_ = 0;
  int64_t excessDelayAtMs_ = 0;
  /// Time at which a prompt was last placed there, by prefix hash.
  std::map<uint64_t, int64_t> prefixPlacedMs_;
  EndpointSignals signals_;
  /// The endpoint's software version is admitted for its services.
  bool isAdmitted_ = true;
};

} // namespace cactuswick::routing

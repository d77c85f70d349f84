#pragma once

#include <cstdint>

#include <absl/status/status.h>

namespace cactuswick::routing {

/// State of the router and the request that admission is decided on.
struct AdmissionInput
{
  /// Whether an endpoint serves the requested model or service.
  bool hasEndpoint_ = true;
  /// Whether a request that ends now could be settled.
  bool hasSettlementPath_ = true;
  int64_t queued_ = 0;
  int64_t queueLimit_ = 0;
  int64_t inFlight_ = 0;
  int64_t inFlightLimit_ = 0;
  int64_t workspaceInFlight_ = 0;
  int64_t workspaceLimit_ = 0;
  int64_t nowMs_ = 0;
  int64_t expectedWaitMs_ = 0;
  int64_t deadlineMs_ = 0;
};

/// Decides whether a request is admitted. Returns the reason otherwise, before
/// any work has started: kNoEndpoint, kNoSettlementPath, kQueueFull or
/// kDeadlineUnreachable.
absl::Status
Admit(const AdmissionInput& aInput);

} // namespace cactuswick::routing

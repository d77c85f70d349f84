#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "cactuswick/model/process/Error.h"
#include "cactuswick/model/version/CrashReport.h"
#include "cactuswick/model/version/Deployment.h"
#include "cactuswick/router/connection/ForwardDialect.h"
#include "process/Dispatcher.h"
#include "process/StreamOrigins.h"
#include "request/ForwardDeadlines.h"
#include "request/RequestTelemetry.h"
#include "request/ResponseRelay.h"

namespace cactuswick::router {

/// An admitted request with its route, limits and reservation.
struct ForwardPlan
{
  routing::RequestId id_ = 0;
  ForwardRequest request_;
  model::SharedPrompt prompt_;
  /// Quarantined part that the request may probe; empty for none.
  std::string probedPart_;
  model::ForwardRoute route_;
  std::string service_;
  /// Moves the plan to another service of its route; fails if the route does
  /// not lead there.
  std::function<absl::Status(ForwardPlan& aPlan, const std::string& aService)>
    moveTo_;
  /// Maximum number of tokens in one event of the service's streams.
  int64_t tokensPerEvent_ = 1;
  std::string workspace_;
  int64_t priority_ = 0;
  /// Version of the deployment from which the plan was made.
  int64_t deploymentVersion_ = 0;
  int64_t startMs_ = 0;
  ForwardDeadlines deadlines_;
  /// Budget that pays for the request; empty for none.
  std::string budget_;
  /// Upper bound of the tokens used, to reserve; 0 for no reservation.
  ledger::Tokens tokensToReserve_ = 0;
  /// Takes one retry from the service's retry budget; false if it is exhausted.
  std::function<bool()> tryTakeRetry_;
  /// Returns the delay after which a refused caller may retry, in milliseconds.
  std::function<int64_t(model::ErrorKind aKind)> retryAfterMs_;
};

/// Returns whether the responses are streams that may go on at another
/// endpoint.
bool
IsResumableStream(const ForwardPlan& aPlan);

/// Returns whether the request takes up a stream that has begun before.
bool
TakesUpStream(const ForwardPlan& aPlan);

/// Returns the question where the stream began that the request takes up.
StreamQuery
StreamQueryOf(const ForwardPlan& aPlan);

/// Returns the key under which the origin of the request's stream is kept.
model::StreamKey
StreamKeyOf(const ForwardPlan& aPlan);

/// Returns the telemetry's data of a forwarded request. Objectives are not kept
/// per workspace, as there may be too many workspaces.
RequestInfo
RequestInfoOf(const ForwardPlan& aPlan);

/// Returns how the responses to a request are relayed.
ResponseRelayOptions
RelayOptionsOf(const ForwardPlan& aPlan);

/// Returns the Retry-After, in milliseconds, of a request that failed with an
/// error of @p aKind before it was run: a fixed time if only a top-up of the
/// budget helps, otherwise the rest of its endpoints' backoff and a random
/// part.
int64_t
RetryAfterMsOf(const ForwardPlan& aPlan,
               const Dispatcher& aDispatcher,
               model::ErrorKind aKind);

} // namespace cactuswick::router

#pragma once

#include <cstdint>

#include <absl/status/status.h>

#include "cactuswick/model/process/Error.h"
#include "cactuswick/model/version/StreamOrigin.h"
#include "cactuswick/transport/connection/HttpExchange.h"

namespace cactuswick::router {

/// Whether an endpoint may have run a request.
enum class ExecutionState
{
  kNotRun,
  kMayHaveRun,
};

/// Returns the error of a request that has a quarantined prompt part.
absl::Status
QuarantineError(const std::string& aPart);

/// Returns the error of a request that a stopping router does not accept.
absl::Status
DrainingError();

/// Returns the error of a request that only endpoints in evacuated failure
/// domains could serve.
absl::Status
EvacuatedError(const std::string& aField);

/// Returns the error of a request to take up a stream of which it is not known
/// where it began.
absl::Status
OriginUnknownError();

/// Returns the error of a request to take up a stream that no endpoint is left
/// to go on with.
absl::Status
VersionGoneError(const model::StreamOrigin& aOrigin);

/// Returns the HTTP status for a request that the router answers itself.
/// Callers retry on 429 and 503, so only a request that has not run and never
/// will gets one of these.
int
ForwardStatusOf(const absl::Status& aStatus, ExecutionState aRunState);

/// Returns whether the error lasts until the budget is topped up, so that an
/// early retry cannot succeed.
bool
NeedsTopUp(model::ErrorKind aKind);

/// Replies to a forwarded request that failed at the router. @p aRetryAfterMs
/// above 0 is sent as Retry-After. Returns the status that was sent.
int
ReplyForwardError(transport::HttpExchange& aExchange,
                  const absl::Status& aStatus,
                  ExecutionState aRunState,
                  int64_t aRetryAfterMs);

} // namespace cactuswick::router

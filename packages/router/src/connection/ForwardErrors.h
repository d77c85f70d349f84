#pragma once

#include <cstdint>

#include <absl/status/status.h>

#include "cactuswick/model/process/Error.h"
#include "cactuswick/transport/connection/HttpExchange.h"

namespace cactuswick::router {

/// Whether a request can have run at an endpoint.
enum class RunState
{
  kNotRun,
  kMayHaveRun,
};

/// Status for a caller whose request is not answered by an endpoint. Only a
/// request that has not run and never will gets 429 or 503.
int
ForwardStatusOf(const absl::Status& aStatus, RunState aRunState);

/// Whether only a larger budget helps, so that a retry soon is in vain.
bool
NeedsTopUp(model::ErrorKind aKind);

/// Answers a forwarded request that failed here. @p aRetryAfterMs above 0
/// says when a retry may succeed. Returns the status that was sent.
int
ReplyForwardError(transport::HttpExchange& aExchange,
                  const absl::Status& aStatus,
                  RunState aRunState,
                  int64_t aRetryAfterMs);

} // namespace cactuswick::router

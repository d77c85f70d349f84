#pragma once

#include <optional>

#include <absl/status/status.h>

#include "cactuswick/model/version/CrashReport.h"
#include "cactuswick/model/version/Deployment.h"
#include "cactuswick/router/connection/ForwardDialect.h"
#include "cactuswick/routing/process/EndpointTable.h"

namespace cactuswick::router {

/// Returns the prompt tokens that an endpoint has to process for a request, and
/// the hash that identifies a prefix shared with other requests; nullopt for a
/// request that is no generation. Pure.
std::optional<routing::PromptLoad>
PromptLoadOf(const ForwardRequest& aRequest);

/// Returns an error if a prompt does not fit into the memory of a service's
/// engines, so that none of them can ever run the request. Pure.
absl::Status
CheckPromptFits(const ForwardRequest& aRequest,
                const model::EngineTraits& aEngine);

/// Returns the parts of a prompt that other requests may share: all but the
/// last one. Pure.
model::SharedPrompt
SharedPromptOf(const ForwardRequest& aRequest);

} // namespace cactuswick::router

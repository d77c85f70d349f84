#pragma once

#include <optional>

#include "cactuswick/model/version/CrashReport.h"
#include "cactuswick/router/connection/ForwardDialect.h"
#include "cactuswick/routing/process/EndpointTable.h"

namespace cactuswick::router {

/// Returns the prompt tokens that an endpoint has to process for a request, and
/// the hash that identifies a prefix shared with other requests; nullopt for a
/// request that is no generation. Pure.
std::optional<routing::PromptLoad>
PromptLoadOf(const ForwardRequest& aRequest);

/// Returns the parts of a prompt that other requests may share: all but the
/// last one. Pure.
model::SharedPrompt
SharedPromptOf(const ForwardRequest& aRequest);

} // namespace cactuswick::router

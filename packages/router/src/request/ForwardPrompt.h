#pragma once

#include <optional>

#include "cactuswick/router/connection/ForwardDialect.h"
#include "cactuswick/routing/process/EndpointTable.h"

namespace cactuswick::router {

/// What a forwarded request's prompt costs the endpoint that reads it, and
/// which other requests share its beginning; nothing for one that is no
/// generation. Pure.
std::optional<routing::PromptLoad>
PromptLoadOf(const ForwardRequest& aRequest);

} // namespace cactuswick::router

#pragma once

#include <string_view>

#include "cactuswick/transport/connection/HttpCall.h"

namespace cactuswick::router {

/// Writes a line that names what is wrong with the bytes that an endpoint sent
/// in response to @p aRequestId, if they are no response of HTTP.
void
LogIfMalformed(const transport::HttpCall& aCall,
               std::string_view aRequestId,
               std::string_view aEndpoint);

} // namespace cactuswick::router

#pragma once

#include <string>
#include <string_view>

#include "cactuswick/transport/connection/RequestHead.h"

namespace cactuswick::transport {

/// Returns the bytes of a response that is sent without evhttp and closes the
/// connection; without the body if @p aMethod, the request's, is HEAD.
std::string
PrintEarlyResponse(const EarlyResponse& aResponse, std::string_view aMethod);

} // namespace cactuswick::transport

#pragma once

#include <string>

#include "cactuswick/transport/connection/RequestHead.h"

namespace cactuswick::transport {

/// Returns the bytes of a response that is sent without evhttp and closes the
/// connection.
std::string
PrintEarlyResponse(const EarlyResponse& aResponse);

} // namespace cactuswick::transport

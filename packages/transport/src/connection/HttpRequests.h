#pragma once

#include <string>
#include <string_view>

#include "cactuswick/transport/connection/Headers.h"

struct evhttp_request;
struct evkeyvalq;

/// Conversions shared by the users of evhttp.
namespace cactuswick::transport {

/// Returns the method's name, "OTHER" if it is not a supported one.
std::string
MethodNameOf(const evhttp_request* aRequest);

/// Returns whether evhttp reads the bodies of requests with this method.
bool
TakesBody(std::string_view aMethod);

/// Returns all headers in the order in which they were received.
Headers
ToHeaders(const evkeyvalq* aHeaders);

} // namespace cactuswick::transport

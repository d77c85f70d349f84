#pragma once

#include "cactuswick/router/connection/ForwardDialect.h"

namespace cactuswick::router {

/// Returns whether the body of @p aNext can continue that of @p aFirst: the
/// status is equal, and so is the media type or both have none. Pure.
bool
HasSameStatusAndMediaType(const ForwardResponseHead& aFirst,
                          const ForwardResponseHead& aNext);

} // namespace cactuswick::router

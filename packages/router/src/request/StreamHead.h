#pragma once

#include "cactuswick/router/connection/ForwardDialect.h"

namespace cactuswick::router {

/// Whether the body of @p aNext can follow that of @p aFirst in one answer:
/// both have the same status and the same media type, or both have none. Pure.
bool
IsSameForm(const ForwardResponseHead& aFirst, const ForwardResponseHead& aNext);

} // namespace cactuswick::router

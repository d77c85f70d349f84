#pragma once

#include <string>

#include "cactuswick/router/connection/ForwardDialect.h"

namespace cactuswick::router {

/// Whose response a connection carries.
enum class ResponseOwner
{
  kThisRequest,
  /// Another request, such as a late copy of an earlier response.
  kOtherRequest,
  /// It cannot be told, so that nothing may be concluded from the response.
  kUnknown,
};

/// Returns whose response begins with @p aHead while the request with
/// @p aRequestId waits for one.
///
/// Only a refusal must name its request: a late copy of an earlier one would
/// otherwise promise that a request that runs has not run.
ResponseOwner
OwnerOf(const ForwardResponseHead& aHead, const std::string& aRequestId);

} // namespace cactuswick::router

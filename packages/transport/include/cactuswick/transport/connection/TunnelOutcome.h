#pragma once

namespace cactuswick::transport {

/// Reply of a router that is asked for a tunnel to an endpoint.
enum class TunnelOutcome
{
  kOpened,
  /// The router cannot open tunnels: it stops, is full, or does not reach the
  /// endpoints itself.
  kUnavailable,
  /// The endpoint takes no requests, as far as the router knows.
  kNotTaken,
  /// The router could not connect to the endpoint.
  kUnreachable,
};

} // namespace cactuswick::transport

#pragma once

#include <cstddef>
#include <cstdint>

namespace cactuswick::transport {

/// Limits for each client connection.
struct HttpLimits
{
  size_t maxHeaderBytes_ = size_t{ 16 } << 10;
  size_t maxBodyBytes_ = size_t{ 1 } << 20;
  /// A connection without reads or writes for longer is closed.
  int64_t idleTimeoutMs_ = 60'000;
  /// Longest time from the first byte of a head to its end.
  int64_t headTimeoutMs_ = 10'000;
  /// Longest time from the end of a head to the end of the body.
  int64_t bodyTimeoutMs_ = 60'000;

  bool operator==(const HttpLimits&) const = default;
};

} // namespace cactuswick::transport

#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "cactuswick/transport/connection/TunnelOutcome.h"
#include "cactuswick/transport/process/Address.h"

/// Heads of HTTP CONNECT as routers send them to each other (RFC 9110, section
/// 9.3.6).
namespace cactuswick::transport {

/// Longest request or reply head of a tunnel.
inline constexpr size_t kMaxTunnelHeadBytes = 256;
/// End of a request or reply head.
inline constexpr std::string_view kTunnelHeadEnd = "\r\n\r\n";

/// Returns the head that asks for a tunnel to an endpoint.
std::string
TunnelRequestHead(const Address& aEndpoint);

/// Returns the endpoint that a request head names; nullopt if it is malformed.
std::optional<Address>
ParseTunnelRequest(std::string_view aHead);

std::string
TunnelReplyHead(TunnelOutcome aOutcome);

/// Returns the outcome that a reply head tells; nullopt if it is malformed.
std::optional<TunnelOutcome>
ParseTunnelReply(std::string_view aHead);

/// Reads the reply head from the first bytes of a tunnel.
class TunnelReplyReader
{
public:
  /// Returns the bytes behind the reply head, if it is complete.
  std::string Pass(std::string_view aBytes);

  /// Returns the outcome once the reply head is complete.
  const std::optional<TunnelOutcome>& Outcome() const { return outcome_; }
  /// Returns whether the bytes are no reply of a router; then it is not known
  /// whether anything was passed on.
  bool IsMalformed() const { return malformed_; }

private:
  std::string head_;
  std::optional<TunnelOutcome> outcome_;
  bool malformed_ = false;
};

} // namespace cactuswick::transport

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

namespace cactuswick::transport {

/// An IPv4 address and a port.
struct Address
{
  std::string host_;
  uint16_t port_ = 0;

  std::string ToString() const;
  bool operator==(const Address&) const = default;
};

/// Parses "IPv4:port"; returns kMalformed with @p aField as the field
/// otherwise.
absl::StatusOr<Address>
ParseAddress(std::string_view aField, std::string_view aText);

} // namespace cactuswick::transport

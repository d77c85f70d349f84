#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

namespace cactuswick::transport {

/// An IP number and a port.
struct Address
{
  std::string host_;
  uint16_t port_ = 0;

  std::string ToString() const;
  bool operator==(const Address&) const = default;
};

/// Parses "IPv4:port"; kMalformed names @p aField.
absl::StatusOr<Address>
ParseAddress(std::string_view aField, std::string_view aText);

} // namespace cactuswick::transport

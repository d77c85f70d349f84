#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace cactuswick::transport {

/// One HTTP header.
struct Header
{
  std::string name_;
  std::string value_;

  bool operator==(const Header&) const = default;
};

using Headers = std::vector<Header>;

} // namespace cactuswick::transport

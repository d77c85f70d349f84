#include "cactuswick/transport/process/Address.h"

#include <charconv>

#include <arpa/inet.h>

#include "cactuswick/model/process/Error.h"
#include "cactuswick/model/process/Text.h"

namespace cactuswick::transport {

std::string
Address::ToString() const
{
  return model::Concat(host_, ":", port_);
}

absl::StatusOr<Address>
ParseAddress(std::string_view aField, std::string_view aText)
{
  const auto malformed = model::MakeError(
    model::ErrorKind::kMalformed, aField, "expected IPv4:port");
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return malformed;
  }
  Address address{ .host_ = std::string(aText.substr(0, colon)) };
  const auto digits = aText.substr(colon + 1);
  const auto parsed = std::from_chars(
    digits.data(), digits.data() + digits.size(), address.port_);
  in_addr ignored{};
  const bool valid = parsed.ec == std::errc() &&
                     parsed.ptr == digits.data() + digits.size() &&
                     address.port_ != 0 &&
                     inet_pton(AF_INET, address.host_.c_str(), &ignored) == 1;
  if (!valid) {
    return malformed;
  }
  return address;
}

} // namespace cactuswick::transport

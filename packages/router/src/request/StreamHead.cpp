#include "request/StreamHead.h"

#include <string_view>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>

#include "cactuswick/model/process/Text.h"

namespace cactuswick::router {

namespace {

/// Returns the media type without parameters; empty without a Content-Type.
absl::string_view
MediaTypeOf(const ForwardResponseHead& aHead)
{
  for (const auto& header : aHead.headers_) {
    if (absl::EqualsIgnoreCase(header.name_, "Content-Type")) {
      const std::string_view value = header.value_;
      return absl::StripAsciiWhitespace(
        model::ToAbsl(value.substr(0, value.find(';'))));
    }
  }
  return {};
}

} // namespace

bool
HasSameStatusAndMediaType(const ForwardResponseHead& aFirst,
                          const ForwardResponseHead& aNext)
{
  return aFirst.status_ == aNext.status_ &&
         absl::EqualsIgnoreCase(MediaTypeOf(aFirst), MediaTypeOf(aNext));
}

} // namespace cactuswick::router

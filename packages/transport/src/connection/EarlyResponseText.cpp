#include "connection/EarlyResponseText.h"

#include "cactuswick/model/process/Text.h"

namespace cactuswick::transport {

namespace {

const char*
ReasonOf(int aStatus)
{
  switch (aStatus) {
    case 400:
      return "Bad Request";
    case 413:
      return "Content Too Large";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    default:
      return "Service Unavailable";
  }
}

} // namespace

std::string
PrintEarlyResponse(const EarlyResponse& aResponse, std::string_view aMethod)
{
  std::string text = model::Concat("HTTP/1.1 ",
                                   aResponse.status_,
                                   " ",
                                   ReasonOf(aResponse.status_),
                                   "\r\nConnection: close\r\n");
  for (const auto& header : aResponse.headers_) {
    model::AppendTo(text, header.name_, ": ", header.value_, "\r\n");
  }
  model::AppendTo(text, "Content-Length: ", aResponse.body_.size(), "\r\n\r\n");
  return aMethod == "HEAD" ? text : text + aResponse.body_;
}

} // namespace cactuswick::transport

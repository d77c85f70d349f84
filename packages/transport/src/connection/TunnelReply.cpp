#include "connection/TunnelReply.h"

#include <array>

#include "cactuswick/model/process/Text.h"

namespace cactuswick::transport {

namespace {

constexpr std::string_view kMethod = "CONNECT ";
constexpr std::string_view kVersion = " HTTP/1.1\r\n";

struct ReplyLine
{
  TunnelOutcome outcome_;
  std::string_view statusLine_;
};

constexpr std::array<ReplyLine, 4> kReplyLines{ {
  { TunnelOutcome::kOpened, "HTTP/1.1 200 Connected" },
  { TunnelOutcome::kUnavailable, "HTTP/1.1 503 Service Unavailable" },
  { TunnelOutcome::kNotTaken, "HTTP/1.1 409 Conflict" },
  { TunnelOutcome::kUnreachable, "HTTP/1.1 502 Bad Gateway" },
} };

} // namespace

std::string
TunnelRequestHead(const Address& aEndpoint)
{
  const std::string endpoint = aEndpoint.ToString();
  return model::Concat(
    kMethod, endpoint, kVersion, "Host: ", endpoint, kTunnelHeadEnd);
}

std::optional<Address>
ParseTunnelRequest(std::string_view aHead)
{
  const auto end = aHead.find(kVersion);
  if (!aHead.starts_with(kMethod) || end == std::string_view::npos) {
    return std::nullopt;
  }
  const auto address = ParseAddress(
    "endpoint", aHead.substr(kMethod.size(), end - kMethod.size()));
  return address.ok() ? std::optional(*address) : std::nullopt;
}

std::string
TunnelReplyHead(TunnelOutcome aOutcome)
{
  for (const auto& line : kReplyLines) {
    if (line.outcome_ == aOutcome) {
      return model::Concat(line.statusLine_, kTunnelHeadEnd);
    }
  }
  return {};
}

std::optional<TunnelOutcome>
ParseTunnelReply(std::string_view aHead)
{
  const auto statusLine = aHead.substr(0, aHead.find("\r\n"));
  for (const auto& line : kReplyLines) {
    if (line.statusLine_ == statusLine) {
      return line.outcome_;
    }
  }
  return std::nullopt;
}

std::string
TunnelReplyReader::Pass(std::string_view aBytes)
{
  head_ += aBytes;
  const auto end = head_.find(kTunnelHeadEnd);
  if (end == std::string::npos) {
    malformed_ = head_.size() > kMaxTunnelHeadBytes;
    return {};
  }
  outcome_ = ParseTunnelReply(head_);
  malformed_ = !outcome_;
  return head_.substr(end + kTunnelHeadEnd.size());
}

} // namespace cactuswick::transport

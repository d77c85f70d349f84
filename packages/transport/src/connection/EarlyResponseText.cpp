#include "connection/HeadText.h"

#include <algorithm>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>

#include "cactuswick/model/process/Text.h"

namespace cactuswick::transport {

namespace {

constexpr std::string_view kBlankLine = "\n\n";
constexpr std::string_view kBlankLineWithReturn = "\n\r\n";

/// Takes the first line, without its end, off a text.
std::string_view
TakeLine(std::string_view& aText)
{
  const size_t end = std::min(aText.find('\n'), aText.size());
  std::string_view line = aText.substr(0, end);
  aText.remove_prefix(std::min(end + 1, aText.size()));
  if (line.ends_with('\r')) {
    line.remove_suffix(1);
  }
  return line;
}

std::string
Trim(std::string_view aText)
{
  const auto trimmed = absl::StripAsciiWhitespace(model::ToAbsl(aText));
  return { trimmed.data(), trimmed.size() };
}

bool
IsNamed(const Header& aHeader, const char* aName)
{
  return absl::EqualsIgnoreCase(aHeader.name_, aName);
}

/// Returns the announced length of the body: nullopt if it is chunked, 0 if
/// there is none or if the length is no number, which evhttp rejects.
std::optional<size_t>
BodyBytesOf(const Headers& aHeaders)
{
  size_t length = 0;
  for (const auto& header : aHeaders) {
    if (IsNamed(header, "Transfer-Encoding")) {
      return std::nullopt;
    }
    if (IsNamed(header, "Content-Length") &&
        !absl::SimpleAtoi(header.value_, &length)) {
      return 0;
    }
  }
  return length;
}

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

void
AppendHeadText(std::string& aHead, std::string_view aAdded)
{
  if (aHead.empty()) {
    const size_t begin = aAdded.find_first_not_of("\r\n");
    aAdded.remove_prefix(std::min(begin, aAdded.size()));
  }
  aHead += aAdded;
}

std::optional<size_t>
FindHeadEnd(std::string_view aHead, size_t aCheckedBytes)
{
  const size_t overlap = kBlankLineWithReturn.size() - 1;
  const size_t begin = aCheckedBytes - std::min(aCheckedBytes, overlap);
  const size_t plain = aHead.find(kBlankLine, begin);
  const size_t withReturn = aHead.find(kBlankLineWithReturn, begin);
  if (plain < withReturn) {
    return plain + kBlankLine.size();
  }
  if (withReturn != std::string_view::npos) {
    return withReturn + kBlankLineWithReturn.size();
  }
  return std::nullopt;
}

RequestHead
ParseHead(std::string_view aHead)
{
  RequestHead head;
  const std::string_view first = TakeLine(aHead);
  const size_t methodEnd = std::min(first.find(' '), first.size());
  head.method_ = first.substr(0, methodEnd);
  const std::string rest = Trim(first.substr(methodEnd));
  head.uri_ = rest.substr(0, rest.find(' '));
  while (!aHead.empty()) {
    const std::string_view line = TakeLine(aHead);
    const size_t colon = line.find(':');
    if (colon != std::string_view::npos) {
      head.headers_.push_back(
        { std::string(line.substr(0, colon)), Trim(line.substr(colon + 1)) });
    }
  }
  head.bodyBytes_ = BodyBytesOf(head.headers_);
  return head;
}

std::string
PrintEarlyResponse(const EarlyResponse& aResponse)
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
  return text + aResponse.body_;
}

} // namespace cactuswick::transport

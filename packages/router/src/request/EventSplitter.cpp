#include "request/EventSplitter.h"

#include <algorithm>
#include <optional>
#include <utility>

#include <absl/strings/numbers.h>

#include "cactuswick/model/process/Text.h"

namespace cactuswick::router {

namespace {

/// Returns the end of the first complete event, or npos. No event may end at or
/// before @p aFrom.
size_t
FindEventEnd(std::string_view aBytes, size_t aFrom)
{
  for (size_t at = aBytes.find('\n', aFrom); at != std::string_view::npos;
       at = aBytes.find('\n', at + 1)) {
    const std::string_view line = aBytes.substr(0, at);
    if (line.ends_with('\n') || line.ends_with("\r\n\r")) {
      return at + 1;
    }
  }
  return std::string_view::npos;
}

/// Returns the value of a line "id: value", or an empty view.
std::string_view
IdOfLine(std::string_view aLine)
{
  constexpr std::string_view kField = "id:";
  if (!aLine.starts_with(kField)) {
    return {};
  }
  aLine.remove_prefix(kField.size());
  if (aLine.starts_with(' ')) {
    aLine.remove_prefix(1);
  }
  if (aLine.ends_with('\r')) {
    aLine.remove_suffix(1);
  }
  return aLine;
}

/// Returns the last id in the event, or an empty view.
std::string_view
IdOfEvent(std::string_view aEvent)
{
  std::string_view found;
  while (!aEvent.empty()) {
    const auto end = std::min(aEvent.find('\n'), aEvent.size() - 1);
    const std::string_view id = IdOfLine(aEvent.substr(0, end));
    found = id.empty() ? found : id;
    aEvent.remove_prefix(end + 1);
  }
  return found;
}

/// Returns whether every line is empty or a comment.
bool
IsCommentOnly(std::string_view aEvent)
{
  bool lineBegins = true;
  for (const char c : aEvent) {
    if (lineBegins && c != ':' && c != '\r' && c != '\n') {
      return false;
    }
    lineBegins = c == '\n';
  }
  return true;
}

std::optional<int64_t>
ParseNumber(std::string_view aId)
{
  int64_t number = 0;
  const bool isNumber = absl::SimpleAtoi(model::ToAbsl(aId), &number);
  return isNumber ? std::optional(number) : std::nullopt;
}

/// Returns whether both are numbers and the first is at most the second.
bool
IsAtOrBefore(std::string_view aId, std::string_view aLast)
{
  const auto id = ParseNumber(aId);
  const auto last = ParseNumber(aLast);
  return id && last && *id <= *last;
}

} // namespace

std::string
EventSplitter::Feed(std::string_view aBytes)
{
  buffer_.append(aBytes);
  std::string_view remaining = buffer_;
  std::string events;
  for (size_t end = FindEventEnd(remaining, scannedBytes_);
       end != std::string_view::npos;
       end = FindEventEnd(remaining, 0)) {
    const std::string_view event = remaining.substr(0, end);
    if (AcceptEvent(event)) {
      events.append(event);
    }
    remaining.remove_prefix(end);
    scannedBytes_ = 0;
  }
  scannedBytes_ = remaining.size();
  buffer_.erase(0, buffer_.size() - remaining.size());
  return events;
}

void
EventSplitter::Continue()
{
  TakePartialEvent();
  isContinuation_ = count_ > 0;
}

std::string
EventSplitter::TakePartialEvent()
{
  scannedBytes_ = 0;
  return std::exchange(buffer_, {});
}

bool
EventSplitter::AcceptEvent(std::string_view aEvent)
{
  const std::string_view id = IdOfEvent(aEvent);
  if (isContinuation_ && IsAtOrBefore(id, lastId_)) {
    return false;
  }
  ++count_;
  if (!IsCommentOnly(aEvent)) {
    lastIdIsNumber_ = ParseNumber(id).has_value();
  }
  if (!id.empty()) {
    lastId_ = id;
  }
  return true;
}

} // namespace cactuswick::router

#include "request/EventSplitter.h"

#include <algorithm>
#include <utility>

namespace cactuswick::router {

namespace {

/// End of the first whole event, or npos. None ends at or before @p aFrom.
size_t
EndOfEvent(std::string_view aBytes, size_t aFrom)
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

/// Value of a line "id: value", or an empty view.
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

} // namespace

std::string
EventSplitter::Feed(std::string_view aBytes)
{
  rest_.append(aBytes);
  std::string_view left = rest_;
  size_t whole = 0;
  for (size_t end = EndOfEvent(left, searched_); end != std::string_view::npos;
       end = EndOfEvent(left, 0)) {
    OnEvent(left.substr(0, end));
    left.remove_prefix(end);
    whole += end;
    searched_ = 0;
  }
  searched_ = left.size();
  if (whole == 0) {
    return {};
  }
  std::string events = rest_.substr(0, whole);
  rest_.erase(0, whole);
  return events;
}

void
EventSplitter::DropRest()
{
  TakeRest();
}

std::string
EventSplitter::TakeRest()
{
  searched_ = 0;
  return std::exchange(rest_, {});
}

void
EventSplitter::OnEvent(std::string_view aEvent)
{
  ++count_;
  while (!aEvent.empty()) {
    const auto end = std::min(aEvent.find('\n'), aEvent.size() - 1);
    const std::string_view id = IdOfLine(aEvent.substr(0, end));
    if (!id.empty()) {
      lastId_ = id;
    }
    aEvent.remove_prefix(end + 1);
  }
}

} // namespace cactuswick::router

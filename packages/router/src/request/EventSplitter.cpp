#include "request/EventSplitter.h"

#include <algorithm>
#include <utility>

namespace cactuswick::router {

namespace {

/// End of the first whole event, or npos.
size_t
EndOfEvent(std::string_view aBytes)
{
  const auto endAfter = [&](std::string_view aBreak) {
    const auto at = aBytes.find(aBreak);
    return at == std::string_view::npos ? at : at + aBreak.size();
  };
  return std::min(endAfter("\n\n"), endAfter("\r\n\r\n"));
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
  for (size_t end = EndOfEvent(left); end != std::string_view::npos;
       end = EndOfEvent(left)) {
    OnEvent(left.substr(0, end));
    left.remove_prefix(end);
    whole += end;
  }
  std::string events = rest_.substr(0, whole);
  rest_.erase(0, whole);
  return events;
}

std::string
EventSplitter::TakeRest()
{
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

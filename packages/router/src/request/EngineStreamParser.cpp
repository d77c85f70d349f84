#include "request/EngineStreamParser.h"

#include "cactuswick/model/process/Json.h"

namespace cactuswick::router {

namespace {

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kDataPrefix = "data: ";
constexpr std::string_view kDone = "data: [DONE]";
constexpr std::string_view kUsageKey = "\"usage\"";
constexpr std::string_view kContentKey = "\"content\"";

} // namespace

std::optional<ledger::Tokens>
ParseTotalTokens(std::string_view aJson)
{
  const auto document = model::ParseJson(aJson);
  if (!document.ok() || !document->is_object()) {
    return std::nullopt;
  }
  const auto usage = document->find("usage");
  if (usage == document->end() || !usage->is_object()) {
    return std::nullopt;
  }
  const auto total = usage->find("total_tokens");
  if (total == usage->end() || !total->is_number_unsigned()) {
    return std::nullopt;
  }
  return total->get<ledger::Tokens>();
}

std::string
EngineStreamParser::Feed(std::string_view aData)
{
  buffer_.append(aData);
  std::string ready;
  size_t start = 0;
  for (size_t end = buffer_.find(kEventEnd, searchFrom_);
       end != std::string::npos;
       end = buffer_.find(kEventEnd, start)) {
    end += kEventEnd.size();
    const auto event = std::string_view(buffer_).substr(start, end - start);
    if (ProcessEvent(event)) {
      ready.append(event);
    }
    start = end;
  }
  buffer_.erase(0, start);
  // The last byte may be the first of the two newlines that end an event.
  searchFrom_ = buffer_.empty() ? 0 : buffer_.size() - 1;
  return ready;
}

bool
EngineStreamParser::ProcessEvent(std::string_view aEvent)
{
  if (aEvent.starts_with(kDone)) {
    sawDone_ = true;
    return false;
  }
  if (aEvent.find(kContentKey) != std::string_view::npos) {
    ++contentEvents_;
  }
  if (aEvent.starts_with(kDataPrefix) &&
      aEvent.find(kUsageKey) != std::string_view::npos) {
    if (const auto usage =
          ParseTotalTokens(aEvent.substr(kDataPrefix.size()))) {
      usage_ = usage;
    }
  }
  return true;
}

} // namespace cactuswick::router

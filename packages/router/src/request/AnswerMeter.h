#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "cactuswick/ledger/request/RouterOp.h"

namespace cactuswick::router {

/// Follows an engine's stream of server-sent events: counts tokens, finds the
/// usage figures, and holds the closing event back until it may be sent. Pure.
/// Looks at each byte once; the owner ends a stream that is overlong.
class AnswerMeter
{
public:
  /// Most bytes of one event.
  static constexpr size_t kMaxEventBytes = size_t{ 256 } << 10;

  /// Takes bytes of the stream; returns the whole events that may go on.
  std::string Feed(std::string_view aData);

  /// The closing event has come: nothing is missing.
  bool IsComplete() const { return sawDone_ && buffer_.empty(); }
  /// More bytes than an event may have are behind the last whole event.
  bool IsEventTooLarge() const { return buffer_.size() > kMaxEventBytes; }
  /// Events with content so far.
  int64_t ContentEvents() const { return contentEvents_; }
  /// Tokens of prompt and answer as the engine reports them.
  std::optional<ledger::Tokens> Usage() const { return usage_; }

private:
  /// Returns true when the event may go on to the caller.
  bool ProcessEvent(std::string_view aEvent);

  std::string buffer_;
  /// Where an event's end may next be found.
  size_t searchFrom_ = 0;
  bool sawDone_ = false;
  int64_t contentEvents_ = 0;
  std::optional<ledger::Tokens> usage_;
};

/// Reads usage.total_tokens of a whole answer; nullopt when it has none.
std::optional<ledger::Tokens>
ParseTotalTokens(std::string_view aAnswer);

} // namespace cactuswick::router

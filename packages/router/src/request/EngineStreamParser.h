#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "cactuswick/ledger/request/RouterOp.h"

namespace cactuswick::router {

/// Incremental parser of an engine's server-sent events: counts events with
/// content, extracts the reported usage, and withholds the closing [DONE]
/// event, which the owner sends after settlement. Scans each byte once; the
/// owner ends a stream whose event exceeds the limit. Pure.
class EngineStreamParser
{
public:
  /// Maximum size of one event in bytes.
  static constexpr size_t kMaxEventBytes = size_t{ 256 } << 10;

  /// Consumes bytes of the stream; returns the complete events to forward.
  std::string Feed(std::string_view aData);

  /// Whether the closing event was received and no bytes follow it.
  bool IsComplete() const { return sawDone_ && buffer_.empty(); }
  /// Whether the event that is still incomplete exceeds kMaxEventBytes.
  bool IsEventTooLarge() const { return buffer_.size() > kMaxEventBytes; }
  /// Number of events with content so far, an estimate of output tokens.
  int64_t ContentEvents() const { return contentEvents_; }
  /// Total of prompt and output tokens as reported by the engine, if any.
  std::optional<ledger::Tokens> Usage() const { return usage_; }

private:
  /// Returns whether the event is to be forwarded to the caller.
  bool ProcessEvent(std::string_view aEvent);

  std::string buffer_;
  /// Offset in buffer_ from which to search for the end of the event.
  size_t searchFrom_ = 0;
  bool sawDone_ = false;
  int64_t contentEvents_ = 0;
  std::optional<ledger::Tokens> usage_;
};

/// Returns usage.total_tokens of a JSON document; nullopt if it is absent or no
/// unsigned number.
std::optional<ledger::Tokens>
ParseTotalTokens(std::string_view aJson);

} // namespace cactuswick::router

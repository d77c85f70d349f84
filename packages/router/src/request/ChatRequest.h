#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "cactuswick/ledger/request/RouterOp.h"

namespace cactuswick::router {

/// A checked chat-completions request.
struct ChatRequest
{
  std::string model_;
  bool stream_ = false;
  /// Most tokens of the answer; 0 when the caller names none.
  int64_t maxTokens_ = 0;
  /// Hash of the prompt's beginning, for prefix caches.
  uint64_t prefixHash_ = 0;
  /// Hash of the whole body.
  int64_t fingerprint_ = 0;
  /// Upper bound of the prompt's tokens: a token has at least one byte.
  ledger::Tokens promptBound_ = 0;
};

/// Parses a body; an error names the offending field.
absl::StatusOr<ChatRequest>
ParseChatRequest(std::string_view aBody);

/// The body as sent to an engine: with the limit of tokens, the rank's
/// priority and a request for usage figures.
std::string
EngineBody(std::string_view aBody, int64_t aMaxTokens, int64_t aPriority);

} // namespace cactuswick::router

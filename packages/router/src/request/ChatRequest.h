#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "cactuswick/ledger/request/RouterOp.h"

namespace cactuswick::router {

/// A validated chat completion request.
struct ChatRequest
{
  std::string model_;
  bool stream_ = false;
  /// Maximum number of output tokens; 0 if the caller sets none.
  int64_t maxTokens_ = 0;
  /// Hash of the start of the messages, for routing by prefix cache.
  uint64_t prefixHash_ = 0;
  /// Hash of the whole body, which detects a reused idempotency key.
  int64_t fingerprint_ = 0;
  /// Upper bound of the prompt's tokens: the size of the body, as a token has
  /// at least one byte.
  ledger::Tokens promptTokensBound_ = 0;
};

/// Parses and validates a body; an error names the invalid field.
absl::StatusOr<ChatRequest>
ParseChatRequest(std::string_view aBody);

/// Returns the body as sent to an engine: with max_tokens, the priority of the
/// rank and, for streams, a request to report usage.
std::string
EngineRequestBody(std::string_view aBody,
                  int64_t aMaxTokens,
                  int64_t aPriority);

} // namespace cactuswick::router

#include "request/ForwardPrompt.h"

#include <algorithm>

#include "cactuswick/model/process/Error.h"
#include "cactuswick/model/process/Hash.h"

namespace cactuswick::router {

std::optional<routing::PromptLoad>
PromptLoadOf(const ForwardRequest& aRequest)
{
  if (!aRequest.promptTokens_) {
    return std::nullopt;
  }
  routing::PromptLoad prompt;
  if (aRequest.parts_.size() > 1) {
    // All parts but the last may be shared with other requests.
    // The hash is over all of them: a first part that most prompts have in
    // common would send them all to one engine.
    for (size_t i = 0; i + 1 < aRequest.parts_.size(); ++i) {
      const auto& part = aRequest.parts_[i];
      prompt.sharedTokens_ += part.tokens_;
      prompt.prefixHash_ = model::Hash64(part.id_, prompt.prefixHash_);
    }
  }
  prompt.uniqueTokens_ = std::max(
    ledger::Tokens{ 0 }, *aRequest.promptTokens_ - prompt.sharedTokens_);
  return prompt;
}

absl::Status
CheckPromptFits(const ForwardRequest& aRequest,
                const model::EngineTraits& aEngine)
{
  const bool isKnown = aEngine.kvCacheTokens_ > 0;
  if (!isKnown ||
      aRequest.promptTokens_.value_or(0) <= aEngine.kvCacheTokens_) {
    return absl::OkStatus();
  }
  return model::MakeError(model::ErrorKind::kOutOfRange,
                          "prompt",
                          "the prompt is larger than an engine's memory");
}

model::SharedPrompt
SharedPromptOf(const ForwardRequest& aRequest)
{
  model::SharedPrompt prompt;
  const auto& parts = aRequest.parts_;
  if (parts.size() < 2) {
    return prompt;
  }
  prompt.requestHash_ = static_cast<int64_t>(model::Hash64(parts.back().id_));
  const size_t shared = parts.size() - 1;
  const size_t first = shared - std::min(shared, model::kMaxTrackedParts);
  for (size_t i = first; i < shared; ++i) {
    prompt.parts_.push_back(model::TrackedPartId(parts[i].id_));
  }
  return prompt;
}

} // namespace cactuswick::router

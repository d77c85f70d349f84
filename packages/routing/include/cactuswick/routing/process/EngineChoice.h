#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "cactuswick/ledger/request/RouterOp.h"

namespace cactuswick::routing {

/// Expected prefill throughput of an engine.
inline constexpr double kPrefillTokensPerMs = 50;

/// Prefill work of a prompt: what a model engine has to process before the
/// first token.
struct PromptLoad
{
  /// Hash of the prefix that other requests share; 0 for none.
  uint64_t prefixHash_ = 0;
  /// Tokens of the shared prefix; an engine that has it cached skips them.
  ledger::Tokens sharedTokens_ = 0;
  /// Tokens after the shared prefix.
  ledger::Tokens uniqueTokens_ = 0;

  bool operator==(const PromptLoad&) const = default;
};

/// What a router knows of an engine that may take a prompt.
struct EngineLoad
{
  std::string_view endpoint_;
  /// Whether a prompt with the same prefix was placed there recently.
  bool hasPrefix_ = false;
  /// Prefill tokens of this router's prompts that were not processed yet.
  ledger::Tokens pendingPrefillTokens_ = 0;
  /// The same of all other routers, as last heard.
  ledger::Tokens othersPendingTokens_ = 0;
  /// Time to the first token beyond the expected one.
  double excessDelayMs_ = 0;
  /// Requests of this router at the engine.
  int64_t inFlight_ = 0;
};

/// Engine that was chosen for a prompt.
struct EngineChoice
{
  /// Index in the list of engines.
  size_t engine_ = 0;
  /// Tokens that the engine is expected to process, without those expected in
  /// its prefix cache.
  ledger::Tokens prefillTokens_ = 0;
};

/// Returns the engine that is expected to finish the prefill of a prompt first;
/// nullopt without engines. Counts the prefill that is pending there and the
/// part of the prompt that is not in its prefix cache. For load with many long
/// prompts that share prefixes. Pure.
std::optional<EngineChoice>
ChooseEngine(const PromptLoad& aPrompt,
             const std::vector<EngineLoad>& aEngines);

/// As ChooseEngine, for routers with a fresh PrefillView. Chooses among the
/// first engines of the prefix's hash order only: routers that choose at once
/// don't all choose the engine that was idle then, and a prompt that leaves the
/// preferred engine meets others with its prefix. Pure.
std::optional<EngineChoice>
ChooseEngineByFleetLoad(const PromptLoad& aPrompt,
                        const std::vector<EngineLoad>& aEngines);

} // namespace cactuswick::routing

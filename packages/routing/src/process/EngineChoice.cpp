#include "cactuswick/routing/process/EngineChoice.h"

#include <algorithm>
#include <utility>

#include "cactuswick/model/process/Hash.h"

namespace cactuswick::routing {

namespace {

/// Prefill cost of each request that is already running at the engine.
constexpr ledger::Tokens kTokensPerRunningRequest = 300;
/// Engines of a prefix's hash order among which routers that know the others'
/// load choose.
constexpr size_t kOrderedEngines = 6;
/// Weight of what others had placed at an engine, in percent: a part has been
/// processed since, and other routers avoid the engine for it as well.
constexpr ledger::Tokens kOthersPercent = 40;
constexpr ledger::Tokens kPercent = 100;

/// Rendezvous hashing: all routers prefer the same engine for a prefix without
/// coordination.
uint64_t
HashWeight(const EngineLoad& aEngine, const PromptLoad& aPrompt)
{
  return model::Hash64(aEngine.endpoint_, aPrompt.prefixHash_);
}

/// Prefill tokens ahead of a prompt at an engine.
ledger::Tokens
TokensAhead(const EngineLoad& aEngine)
{
  const auto delay =
    static_cast<ledger::Tokens>(aEngine.excessDelayMs_ * kPrefillTokensPerMs);
  return aEngine.pendingPrefillTokens_ +
         aEngine.othersPendingTokens_ * kOthersPercent / kPercent + delay +
         aEngine.inFlight_ * kTokensPerRunningRequest;
}

} // namespace

std::optional<EngineChoice>
ChooseEngine(const PromptLoad& aPrompt, const std::vector<EngineLoad>& aEngines)
{
  if (aEngines.empty()) {
    return std::nullopt;
  }
  const auto preferred = std::max_element(
    aEngines.begin(), aEngines.end(), [&](const auto& a, const auto& b) {
      return HashWeight(a, aPrompt) < HashWeight(b, aPrompt);
    });
  std::optional<EngineChoice> best;
  ledger::Tokens bestCost = 0;
  for (size_t i = 0; i < aEngines.size(); ++i) {
    const EngineLoad& engine = aEngines[i];
    const bool hasPrefix = &engine == &*preferred || engine.hasPrefix_;
    const ledger::Tokens prefillTokens =
      aPrompt.uniqueTokens_ + (hasPrefix ? 0 : aPrompt.sharedTokens_);
    const ledger::Tokens cost = prefillTokens + TokensAhead(engine);
    const bool isBetter =
      !best || cost < bestCost ||
      (cost == bestCost && HashWeight(engine, aPrompt) >
                             HashWeight(aEngines[best->engine_], aPrompt));
    if (isBetter) {
      best = { .engine_ = i, .prefillTokens_ = prefillTokens };
      bestCost = cost;
    }
  }
  return best;
}

std::optional<EngineChoice>
ChooseEngineByFleetLoad(const PromptLoad& aPrompt,
                        const std::vector<EngineLoad>& aEngines)
{
  std::vector<std::pair<uint64_t, size_t>> order;
  order.reserve(aEngines.size());
  for (size_t i = 0; i < aEngines.size(); ++i) {
    order.emplace_back(HashWeight(aEngines[i], aPrompt), i);
  }
  const size_t count = std::min(kOrderedEngines, order.size());
  std::partial_sort(order.begin(),
                    order.begin() + static_cast<std::ptrdiff_t>(count),
                    order.end(),
                    std::greater<>());
  std::optional<EngineChoice> best;
  ledger::Tokens bestCost = 0;
  for (size_t rank = 0; rank < count; ++rank) {
    const EngineLoad& engine = aEngines[order[rank].second];
    const bool hasPrefix = rank == 0 || engine.hasPrefix_;
    // The shared part counts more with each step, so that routers which differ
    // a little about the load still agree about the engine.
    const ledger::Tokens sharedCost =
      hasPrefix ? 0 : static_cast<ledger::Tokens>(rank) * aPrompt.sharedTokens_;
    const ledger::Tokens cost =
      aPrompt.uniqueTokens_ + sharedCost + TokensAhead(engine);
    if (!best || cost < bestCost) {
      best = { .engine_ = order[rank].second,
               .prefillTokens_ = aPrompt.uniqueTokens_ +
                                 (hasPrefix ? 0 : aPrompt.sharedTokens_) };
      bestCost = cost;
    }
  }
  return best;
}

} // namespace cactuswick::routing

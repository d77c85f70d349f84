#include "process/EndpointSelection.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "cactuswick/model/process/Hash.h"

namespace cactuswick::routing {

namespace {

/// Prefix affinity applies up to this multiple of the lowest load, plus
/// @c kAffinityExtraSlots.
constexpr double kAffinityLoadFactor = 1.25;
constexpr double kAffinityExtraSlots = 1.0;
/// Load, as a part of the slots, that is added to endpoints of other failure
/// domains so that local ones are preferred.
constexpr double kRemoteDomainPenalty = 0.25;
/// Time constant of the exponential decay of an engine's excess delay.
constexpr double kExcessDelayDecayMs = 4'000;

} // namespace

double
LoadOf(const EndpointState& aEndpoint)
{
  // The announced load lags, so this router's own requests are a lower bound.
  const auto& announcement = aEndpoint.announcement_;
  const int64_t load = std::max(aEndpoint.inFlight_, announcement.inFlight_);
  return static_cast<double>(load) / static_cast<double>(announcement.slots_);
}

double
ExcessDelayOf(const EndpointState& aEndpoint, int64_t aNowMs)
{
  const auto age = static_cast<double>(aNowMs - aEndpoint.excessDelayAtMs_);
  return aEndpoint.excessDelayMs_ * std::exp(-age / kExcessDelayDecayMs);
}

EndpointState&
LeastLoaded(const std::vector<EndpointState*>& aCandidates,
            const std::string& aFailureDomain,
            size_t aOffset)
{
  const size_t offset = aOffset % aCandidates.size();
  EndpointState* best = aCandidates[offset];
  double bestLoad = std::numeric_limits<double>::max();
  for (size_t i = 0; i < aCandidates.size(); ++i) {
    EndpointState* candidate = aCandidates[(i + offset) % aCandidates.size()];
    const bool local =
      candidate->announcement_.failureDomain_ == aFailureDomain;
    const double load = LoadOf(*candidate) + (local ? 0 : kRemoteDomainPenalty);
    if (load < bestLoad) {
      best = candidate;
      bestLoad = load;
    }
  }
  return *best;
}

EndpointState&
PreferredByPrefix(const std::vector<EndpointState*>& aCandidates,
                  uint64_t aPrefixHash)
{
  const auto leastLoaded = std::min_element(
    aCandidates.begin(), aCandidates.end(), [](const auto* a, const auto* b) {
      return LoadOf(*a) < LoadOf(*b);
    });
  const double limit =
    LoadOf(**leastLoaded) * kAffinityLoadFactor +
    kAffinityExtraSlots /
      static_cast<double>((*leastLoaded)->announcement_.slots_);
  EndpointState* best = *leastLoaded;
  double bestScore = -1;
  for (EndpointState* endpoint : aCandidates) {
    if (LoadOf(*endpoint) > limit) {
      continue;
    }
    // Rendezvous hashing: a prefix keeps its endpoint when others come and go.
    const uint64_t hash =
      model::Hash64(endpoint->announcement_.endpoint_, aPrefixHash);
    const double score = static_cast<double>(hash >> 11) * 0x1.0p-53;
    if (score > bestScore) {
      best = endpoint;
      bestScore = score;
    }
  }
  return *best;
}

std::vector<EngineLoad>
LoadsForPrompt(const std::vector<EndpointState*>& aCandidates,
               const PromptLoad& aPrompt,
               const PrefillView& aOthers,
               int64_t aNowMs)
{
  std::vector<EngineLoad> engines;
  engines.reserve(aCandidates.size());
  for (const EndpointState* endpoint : aCandidates) {
    const auto placed = endpoint->prefixPlacedMs_.find(aPrompt.prefixHash_);
    const std::string& name = endpoint->announcement_.endpoint_;
    engines.push_back(
      { .endpoint_ = name,
        .hasPrefix_ = placed != endpoint->prefixPlacedMs_.end() &&
                      aNowMs - placed->second <= kPrefixCacheMs,
        .pendingPrefillTokens_ = endpoint->pendingPrefillTokens_,
        .othersPendingTokens_ = aOthers.OthersAt(name, aNowMs),
        .excessDelayMs_ = ExcessDelayOf(*endpoint, aNowMs),
        .inFlight_ = endpoint->inFlight_ });
  }
  return engines;
}

} // namespace cactuswick::routing

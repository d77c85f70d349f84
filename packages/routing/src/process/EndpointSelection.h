#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "cactuswick/routing/process/EndpointState.h"
#include "cactuswick/routing/process/EngineChoice.h"
#include "cactuswick/routing/process/PrefillView.h"

/// Chooses one of the endpoints that may take a request. All functions expect
/// at least one.
namespace cactuswick::routing {

/// Time for which an engine is expected to keep a prefix cached.
inline constexpr int64_t kPrefixCacheMs = 20'000;

/// Returns the endpoint's load as a part of its slots.
double
LoadOf(const EndpointState& aEndpoint);

/// Returns the prefill time beyond the expected one, decayed until now, in
/// milliseconds.
double
ExcessDelayOf(const EndpointState& aEndpoint, int64_t aNowMs);

/// Returns the least loaded endpoint, preferring those in
/// @p aFailureDomain. The search starts at @p aOffset, which decides ties.
EndpointState&
LeastLoaded(const std::vector<EndpointState*>& aCandidates,
            const std::string& aFailureDomain,
            size_t aOffset);

/// Returns the endpoint that a prefix prefers while its load allows.
EndpointState&
PreferredByPrefix(const std::vector<EndpointState*>& aCandidates,
                  uint64_t aPrefixHash);

/// Returns what is known of the engines that may take a prompt, in the order of
/// @p aCandidates.
std::vector<EngineLoad>
LoadsForPrompt(const std::vector<EndpointState*>& aCandidates,
               const PromptLoad& aPrompt,
               const PrefillView& aOthers,
               int64_t aNowMs);

} // namespace cactuswick::routing

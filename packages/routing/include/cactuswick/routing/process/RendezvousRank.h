#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

/// Rendezvous hashing: every process that knows the same names orders them for
/// a key in the same way, without a message.
namespace cactuswick::routing {

/// Rank of a name that is not in the list.
inline constexpr int64_t kNotRanked = std::numeric_limits<int64_t>::max();

/// Returns how many of @p aNames precede @p aName in the order of @p aKey, or
/// kNotRanked if it is not one of them. Hashes all names.
int64_t
RendezvousRank(const std::string& aName,
               const std::vector<std::string>& aNames,
               const std::string& aKey);

} // namespace cactuswick::routing

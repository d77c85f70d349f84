#include "cactuswick/routing/process/RendezvousRank.h"

#include <algorithm>

#include "cactuswick/model/process/Hash.h"

namespace cactuswick::routing {

int64_t
RendezvousRank(const std::string& aName,
               const std::vector<std::string>& aNames,
               const std::string& aKey)
{
  if (std::find(aNames.begin(), aNames.end(), aName) == aNames.end()) {
    return kNotRanked;
  }
  const uint64_t seed = model::Hash64(aKey);
  const uint64_t own = model::Hash64(aName, seed);
  return std::count_if(
    aNames.begin(), aNames.end(), [&](const std::string& aOther) {
      return model::Hash64(aOther, seed) > own;
    });
}

} // namespace cactuswick::routing

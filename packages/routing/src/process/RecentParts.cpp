#include "cactuswick/routing/process/RecentParts.h"

#include <utility>

#include "cactuswick/model/process/Hash.h"

namespace cactuswick::routing {

void
RecentParts::Add(std::string_view aPart, int64_t aNowMs)
{
  const uint64_t hash = model::Hash64(aPart);
  if (newer_.size() >= kGenerationSize && !newer_.contains(hash)) {
    older_ = std::exchange(newer_, {});
  }
  newer_[hash] = aNowMs;
}

std::optional<int64_t>
RecentParts::Find(std::string_view aPart) const
{
  const uint64_t hash = model::Hash64(aPart);
  for (const Generation* generation : { &newer_, &older_ }) {
    const auto found = generation->find(hash);
    if (found != generation->end()) {
      return found->second;
    }
  }
  return std::nullopt;
}

} // namespace cactuswick::routing

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include <absl/container/flat_hash_map.h>

namespace cactuswick::routing {

/// Times at which endpoints last responded to prompt parts.
///
/// Bounded: entries are kept in two generations, and the older generation is
/// dropped when the newer one is full.
class RecentParts
{
public:
  /// Number of parts in one generation.
  static constexpr size_t kGenerationSize = 4'096;

  void Add(std::string_view aPart, int64_t aNowMs);
  /// Returns the time of the last response, or nullopt if it is not known.
  std::optional<int64_t> Find(std::string_view aPart) const;
  size_t Size() const { return newer_.size() + older_.size(); }

private:
  /// By the hash of the part's id.
  using Generation = absl::flat_hash_map<uint64_t, int64_t>;

  Generation newer_;
  Generation older_;
};

} // namespace cactuswick::routing

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cactuswick/model/process/Fields.h"

namespace cactuswick::model {

/// Prompt tokens that engines have not read yet, of one router or of all
/// routers. Two lists of the same length instead of one of pairs, as most of a
/// message would be names of fields otherwise.
struct PendingPrefill
{
  /// From the leader: interval of its messages, in milliseconds.
  int64_t intervalMs_ = 0;
  std::vector<std::string> endpoints_;
  /// Pending tokens, in the order of the endpoints.
  std::vector<int64_t> tokens_;

  bool operator==(const PendingPrefill&) const = default;
};

constexpr auto
FieldsOf(const PendingPrefill*)
{
  return MakeFields(Field{ "interval_ms", &PendingPrefill::intervalMs_ },
                    Field{ "endpoints", &PendingPrefill::endpoints_ },
                    Field{ "tokens", &PendingPrefill::tokens_ });
}

} // namespace cactuswick::model

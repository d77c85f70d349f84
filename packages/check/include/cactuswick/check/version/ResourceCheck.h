#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "cactuswick/check/version/Finding.h"
#include "cactuswick/model/version/Resource.h"

namespace cactuswick::check {

/// One entry of a file of resources.
struct ResourceEntry
{
  model::Spec spec_;
  /// Version that the entry is to replace, if the file names one.
  std::optional<int64_t> baseVersion_;

  bool operator==(const ResourceEntry&) const = default;
};

/// Decodes and validates one entry, a JSON object. Errors are kMalformed,
/// kOutOfRange or kTooLarge.
absl::StatusOr<ResourceEntry>
DecodeEntry(std::string_view aEntry);

/// Decodes a file of resources as if they were in force, with versions that are
/// not known (0). Errors are as in DecodeEntry().
absl::StatusOr<std::vector<model::Resource>>
DecodeResources(std::string_view aDocument);

/// Checks a file of resources, one JSON object or a list of them, before it is
/// applied: all entries that are refused, in the order in which they are
/// applied, limits that contradict each other and, if @p aInForce is not null,
/// references and the differences from the resources in force. A resource that
/// is only in force stays so and is no difference. A base version is compared
/// unless the one in force is 0, not known. Pure. Sorted by severity.
Findings
CheckResources(std::string_view aDocument,
               const std::vector<model::Resource>* aInForce = nullptr);

} // namespace cactuswick::check

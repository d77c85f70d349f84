#pragma once

#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace cactuswick::check {

/// A value that differs between two documents.
struct Difference
{
  /// Keys from the root, with lists keyed as by Keyed().
  std::vector<std::string> path_;
  /// Not set for an added value.
  std::optional<nlohmann::json> before_;
  /// Not set for a removed value.
  std::optional<nlohmann::json> after_;

  bool operator==(const Difference&) const = default;
};

/// Returns a document with lists replaced by objects: entries are keyed by
/// their name, their service or, for strings, by themselves; a repeated key
/// gets a number. The order of lists is lost.
nlohmann::json
Keyed(const nlohmann::json& aDocument);

/// Returns the innermost values that differ between two keyed documents. A
/// value that is null on both sides or equal does not differ.
std::vector<Difference>
FindDifferences(const nlohmann::json& aBefore, const nlohmann::json& aAfter);

/// Returns the JSON pointer of a keyed path in the original document.
std::string
PointerOf(const nlohmann::json& aDocument,
          const std::vector<std::string>& aPath);

} // namespace cactuswick::check

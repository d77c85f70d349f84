#pragma once

#include <string_view>

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

/// Bounded parsing of JSON and CBOR into documents, without exceptions.
namespace cactuswick::model {

/// Parses JSON text; kTooLarge or kMalformed otherwise.
absl::StatusOr<nlohmann::json>
ParseJson(std::string_view aText);

/// Parses CBOR; kTooLarge or kMalformed otherwise.
absl::StatusOr<nlohmann::json>
ParseCbor(std::string_view aBytes);

/// Prints @p aDocument; bytes that are no UTF-8 are replaced.
std::string
PrintJson(const nlohmann::json& aDocument, int aIndent = -1);

} // namespace cactuswick::model

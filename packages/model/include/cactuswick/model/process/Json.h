#pragma once

#include <string_view>

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

/// Parsing of JSON and CBOR with limits on size and nesting depth. Reports
/// errors as statuses instead of exceptions.
namespace cactuswick::model {

/// Parses JSON text. Errors are kTooLarge or kMalformed.
absl::StatusOr<nlohmann::json>
ParseJson(std::string_view aText);

/// Parses CBOR. Errors are kTooLarge or kMalformed.
absl::StatusOr<nlohmann::json>
ParseCbor(std::string_view aBytes);

/// Serializes @p aDocument as JSON text and replaces bytes that are invalid
/// UTF-8. A negative @p aIndent gives a single line.
std::string
PrintJson(const nlohmann::json& aDocument, int aIndent = -1);

} // namespace cactuswick::model

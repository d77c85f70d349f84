#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/status.h>

#include "cactuswick/model/process/Error.h"
#include "cactuswick/model/process/Fields.h"

/// Checks of a configuration before it is sent.
namespace cactuswick::check {

/// How serious a finding is, the most serious first.
enum class Severity
{
  /// The configuration is refused.
  kError,
  /// It is accepted, and a part of it cannot do what it says.
  kWarning,
  /// Something to know, such as a difference from the version in force.
  kNote,
};

enum class FindingKind
{
  /// A value is missing, malformed or out of its range.
  kInvalid,
  /// A reference to something that does not exist.
  kUnknownReference,
  /// Two entries have the same name, key or place.
  kDuplicate,
  /// An entry that no request can match.
  kNeverMatches,
  /// An entry that nothing refers to.
  kUnused,
  /// Limits that contradict each other.
  kContradiction,
  /// A limit above the product's own, which applies instead.
  kBeyondLimit,
  /// The whole configuration would be accepted without effect.
  kNoEffect,
  /// Requests that are served now would be refused.
  kCutsCallers,
  kAdded,
  kRemoved,
  kChanged,
};

/// One result of a check. Ordered by severity first.
struct Finding
{
  Severity severity_ = Severity::kNote;
  FindingKind kind_ = FindingKind::kInvalid;
  /// JSON pointer into the checked configuration; into the one in force for
  /// what is only there.
  std::string pointer_;
  /// Never contains a secret.
  std::string message_;
  /// The error with which the configuration is refused; set for errors.
  std::optional<model::ErrorKind> code_;

  bool operator==(const Finding&) const = default;
  auto operator<=>(const Finding&) const = default;
};

using Findings = std::vector<Finding>;

/// Returns an error finding for a status with which control refuses a
/// configuration.
Finding
ErrorFinding(std::string aPointer, const absl::Status& aStatus);

/// Returns the most serious severity of @p aFindings, or nullopt if there are
/// none.
std::optional<Severity>
WorstOf(const Findings& aFindings);

/// Returns a short hash that stands for a secret in messages.
std::string
MaskSecret(std::string_view aSecret);

constexpr std::array<std::string_view, 3>
EnumNames(const Severity*)
{
  return { "error", "warning", "note" };
}
constexpr std::array<std::string_view, 12>
EnumNames(const FindingKind*)
{
  return { "invalid",      "unknown_reference",
           "duplicate",    "never_matches",
           "unused",       "contradiction",
           "beyond_limit", "no_effect",
           "cuts_callers", "added",
           "removed",      "changed" };
}
constexpr auto
FieldsOf(const Finding*)
{
  return model::MakeFields(model::Field{ "severity", &Finding::severity_ },
                           model::Field{ "kind", &Finding::kind_ },
                           model::Field{ "pointer", &Finding::pointer_ },
                           model::Field{ "message", &Finding::message_ },
                           model::Field{ "code", &Finding::code_ });
}

/// Returns the wire name of @p aSeverity, such as "warning".
std::string_view
NameOf(Severity aSeverity);

} // namespace cactuswick::check

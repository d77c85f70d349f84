#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <absl/status/status.h>

/// Typed failures shared by every package.
namespace cactuswick::model {

/// What went wrong; the closed list that callers and operators see.
enum class ErrorKind
{
  kMalformed,
  kOutOfRange,
  kTooLarge,
  kUnauthorized,
  kForbidden,
  kUnknownResource,
  kVersionConflict,
  kKeyReused,
  kBudgetExhausted,
  kBudgetHeldElsewhere,
  /// Held by routers that died: only a top-up helps.
  kBudgetHeldForGood,
  kControlUnreachable,
  kNotLeader,
  kNoSettlementPath,
  kNoEndpoint,
  kQueueFull,
  kDeadlineUnreachable,
  kDraining,
  kStarting,
  kInProgress,
  kUpstreamFailed,
  kOutcomeUnknown,
  kCorruptStorage,
  kIo,
};

/// Every kind, in declaration order; for tables and tests.
inline constexpr ErrorKind kLastErrorKind = ErrorKind::kIo;

/// Returns the wire name of @p aKind, such as "budget_exhausted".
std::string_view
NameOf(ErrorKind aKind);

/// Every wire name, in declaration order; serves the codecs.
const std::vector<std::string_view>&
EnumNames(const ErrorKind*);

/// Returns the HTTP status that carries @p aKind to callers and operators.
int
HttpStatusOf(ErrorKind aKind);

/// Makes a status of @p aKind about @p aField (empty when none applies).
absl::Status
MakeError(ErrorKind aKind, std::string_view aField, std::string_view aDetail);

/// Returns the kind that MakeError stored; kIo for foreign statuses.
ErrorKind
KindOf(const absl::Status& aStatus);

/// Returns the field that MakeError stored, or an empty string.
std::string
FieldOf(const absl::Status& aStatus);

/// Returns true when the same call may succeed later without a change.
bool
IsTransient(ErrorKind aKind);

} // namespace cactuswick::model

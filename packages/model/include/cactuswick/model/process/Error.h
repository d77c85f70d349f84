#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <absl/status/status.h>

/// Error kinds shared by every package, carried as payloads of absl::Status.
namespace cactuswick::model {

/// Every error that callers and operators may see.
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
  /// The remaining tokens are granted to routers that died, so that only a
  /// top-up makes more available.
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
  /// The request has a prompt part that crashes endpoints.
  kPartQuarantined,
  /// Where the stream began, which is to be taken up again, is not known.
  kOriginUnknown,
  kOutcomeUnknown,
  kCorruptStorage,
  kIo,
};

/// Last enum value; bounds tables and loops over all kinds.
inline constexpr ErrorKind kLastErrorKind = ErrorKind::kIo;

/// Returns the wire name of @p aKind, such as "budget_exhausted".
std::string_view
NameOf(ErrorKind aKind);

/// Returns every wire name in declaration order, for the codecs.
const std::vector<std::string_view>&
EnumNames(const ErrorKind*);

/// Returns the HTTP status of responses with an error of @p aKind.
int
HttpStatusOf(ErrorKind aKind);

/// Creates a status of @p aKind. @p aField names the offending field and is
/// empty when there is none.
absl::Status
MakeError(ErrorKind aKind, std::string_view aField, std::string_view aDetail);

/// Returns the kind that MakeError stored; kIo for statuses that it did
/// not create.
ErrorKind
KindOf(const absl::Status& aStatus);

/// Returns the field that MakeError stored, or an empty string.
std::string
FieldOf(const absl::Status& aStatus);

/// Returns true when the same request may succeed if it is retried later.
bool
IsTransient(ErrorKind aKind);

} // namespace cactuswick::model

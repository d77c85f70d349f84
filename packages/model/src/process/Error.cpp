#include "cactuswick/model/process/Error.h"

#include <array>

#include <absl/strings/cord.h>

#include "cactuswick/model/process/Text.h"

namespace cactuswick::model {

namespace {

constexpr absl::string_view kKindUrl = "cactuswick/kind";
constexpr absl::string_view kFieldUrl = "cactuswick/field";

struct KindTraits
{
  std::string_view name_;
  int httpStatus_;
  absl::StatusCode code_;
  bool transient_;
};

using absl::StatusCode;

// In declaration order of ErrorKind.
constexpr std::array kTraits = {
  KindTraits{ "malformed", 400, StatusCode::kInvalidArgument, false },
  KindTraits{ "out_of_range", 400, StatusCode::kOutOfRange, false },
  KindTraits{ "too_large", 413, StatusCode::kInvalidArgument, false },
  KindTraits{ "unauthorized", 401, StatusCode::kUnauthenticated, false },
  KindTraits{ "forbidden", 403, StatusCode::kPermissionDenied, false },
  KindTraits{ "unknown_resource", 404, StatusCode::kNotFound, false },
  KindTraits{ "version_conflict", 409, StatusCode::kAborted, false },
  KindTraits{ "key_reused", 422, StatusCode::kAlreadyExists, false },
  KindTraits{ "budget_exhausted", 402, StatusCode::kResourceExhausted, false },
  KindTraits{ "budget_held_elsewhere", 503, StatusCode::kUnavailable, true },
  KindTraits{ "budget_held_for_good", 503, StatusCode::kUnavailable, false },
  KindTraits{ "control_unreachable", 503, StatusCode::kUnavailable, true },
  KindTraits{ "not_leader", 503, StatusCode::kUnavailable, true },
  KindTraits{ "no_settlement_path", 503, StatusCode::kUnavailable, true },
  KindTraits{ "no_endpoint", 503, StatusCode::kUnavailable, true },
  KindTraits{ "queue_full", 429, StatusCode::kResourceExhausted, true },
  KindTraits{ "deadline_unreachable", 503, StatusCode::kUnavailable, true },
  KindTraits{ "draining", 503, StatusCode::kUnavailable, true },
  KindTraits{ "starting", 503, StatusCode::kUnavailable, true },
  KindTraits{ "in_progress", 409, StatusCode::kUnavailable, true },
  KindTraits{ "upstream_failed", 502, StatusCode::kUnavailable, true },
  KindTraits{ "part_quarantined", 503, StatusCode::kUnavailable, true },
  KindTraits{ "origin_unknown", 503, StatusCode::kUnavailable, true },
  KindTraits{ "outcome_unknown", 504, StatusCode::kUnknown, false },
  KindTraits{ "corrupt_storage", 500, StatusCode::kDataLoss, false },
  KindTraits{ "io", 500, StatusCode::kInternal, false },
};

static_assert(kTraits.size() == static_cast<size_t>(kLastErrorKind) + 1);

const KindTraits&
TraitsOf(ErrorKind aKind)
{
  return kTraits[static_cast<size_t>(aKind)];
}

} // namespace

std::string_view
NameOf(ErrorKind aKind)
{
  return TraitsOf(aKind).name_;
}

const std::vector<std::string_view>&
EnumNames(const ErrorKind*)
{
  static const auto kNames = [] {
    std::vector<std::string_view> names;
    names.reserve(kTraits.size());
    for (const auto& traits : kTraits) {
      names.push_back(traits.name_);
    }
    return names;
  }();
  return kNames;
}

int
HttpStatusOf(ErrorKind aKind)
{
  return TraitsOf(aKind).httpStatus_;
}

absl::Status
MakeError(ErrorKind aKind, std::string_view aField, std::string_view aDetail)
{
  absl::Status status(TraitsOf(aKind).code_, ToAbsl(aDetail));
  status.SetPayload(kKindUrl, absl::Cord(ToAbsl(NameOf(aKind))));
  status.SetPayload(kFieldUrl, absl::Cord(ToAbsl(aField)));
  return status;
}

ErrorKind
KindOf(const absl::Status& aStatus)
{
  const auto payload = aStatus.GetPayload(kKindUrl);
  for (size_t i = 0; payload && i < kTraits.size(); ++i) {
    if (*payload == ToAbsl(kTraits[i].name_)) {
      return static_cast<ErrorKind>(i);
    }
  }
  return ErrorKind::kIo;
}

std::string
FieldOf(const absl::Status& aStatus)
{
  const auto payload = aStatus.GetPayload(kFieldUrl);
  return payload ? std::string(*payload) : std::string();
}

bool
IsTransient(ErrorKind aKind)
{
  return TraitsOf(aKind).transient_;
}

} // namespace cactuswick::model

#include "cactuswick/model/version/Resource.h"

#include <algorithm>

#include "cactuswick/model/process/CodecImpl.h"
#include "cactuswick/model/process/Text.h"
#include "cactuswick/model/version/Announcement.h"

namespace cactuswick::model {

namespace {

constexpr size_t kMaxNameBytes = 63;
constexpr int64_t kMaxWeight = 1'000;
constexpr int64_t kMaxConcurrentRequests = 100'000;
constexpr int64_t kMaxPriority = 9;
constexpr int64_t kMaxDurationMs = 7LL * 24 * 3'600 * 1'000;
constexpr int64_t kMaxOutputTokens = 1'000'000;
constexpr size_t kSha256HexBytes = 64;

bool
IsNameByte(char aByte)
{
  return (aByte >= 'a' && aByte <= 'z') || (aByte >= '0' && aByte <= '9') ||
         aByte == '-' || aByte == '_' || aByte == '.';
}

absl::Status
CheckRange(std::string_view aField, int64_t aValue, int64_t aLow, int64_t aHigh)
{
  if (aValue >= aLow && aValue <= aHigh) {
    return absl::OkStatus();
  }
  return MakeError(
    ErrorKind::kOutOfRange, aField, Concat("expected ", aLow, " to ", aHigh));
}

absl::Status
FirstError(std::initializer_list<absl::Status> aStatuses)
{
  for (const auto& status : aStatuses) {
    if (!status.ok()) {
      return status;
    }
  }
  return absl::OkStatus();
}

absl::Status
Check(const Workspace& aSpec)
{
  return FirstError(
    { ValidateName("name", aSpec.name_),
      CheckRange("weight", aSpec.weight_, 1, kMaxWeight),
      CheckRange(
        "max_concurrent", aSpec.maxConcurrent_, 1, kMaxConcurrentRequests) });
}

absl::Status
Check(const Budget& aSpec)
{
  const auto slash = aSpec.name_.find('/');
  if (slash == std::string::npos) {
    return MakeError(ErrorKind::kMalformed,
                     "name",
                     "expected a name of the form workspace/budget");
  }
  return FirstError({ ValidateName("name", WorkspaceOfBudget(aSpec.name_)),
                      ValidateName("name", aSpec.name_.substr(slash + 1)) });
}

absl::Status
Check(const Rank& aSpec)
{
  return FirstError(
    { ValidateName("name", aSpec.name_),
      CheckRange("priority", aSpec.priority_, 0, kMaxPriority),
      CheckRange("floor_percent", aSpec.floorPercent_, 0, 90),
      CheckRange(
        "first_token_target_ms", aSpec.firstTokenTargetMs_, 1, kMaxDurationMs),
      CheckRange("deadline_ms", aSpec.deadlineMs_, 1, kMaxDurationMs),
      CheckRange("max_wait_ms", aSpec.maxWaitMs_, 0, kMaxDurationMs) });
}

absl::Status
Check(const Model& aSpec)
{
  return FirstError(
    { ValidateName("name", aSpec.name_),
      CheckRange(
        "max_output_tokens", aSpec.maxOutputTokens_, 1, kMaxOutputTokens) });
}

absl::Status
Check(const Service& aSpec)
{
  return FirstError(
    { ValidateName("name", aSpec.name_),
      CheckRange("price_tokens", aSpec.priceTokens_, 0, kMaxTokens) });
}

absl::Status
Check(const ApiKey& aSpec)
{
  const bool hex =
    aSpec.sha256_.size() == kSha256HexBytes &&
    aSpec.sha256_.find_first_not_of("0123456789abcdef") == std::string::npos;
  if (!hex) {
    return MakeError(ErrorKind::kMalformed,
                     "sha256",
                     "expected 64 lower-case hexadecimal digits");
  }
  return FirstError({ ValidateName("name", aSpec.name_),
                      ValidateName("workspace", aSpec.workspace_) });
}

absl::Status
Check(const Order& aSpec)
{
  return FirstError({ ValidateName("name", aSpec.name_),
                      ValidateName("target", aSpec.target_) });
}

} // namespace

const std::string&
NameOf(const Spec& aSpec)
{
  return std::visit(
    [](const auto& aOne) -> const std::string& { return aOne.name_; }, aSpec);
}

std::string_view
TypeOf(const Spec& aSpec)
{
  return std::visit([](const auto& aOne) { return TypeNameOf(&aOne); }, aSpec);
}

std::string
KeyOf(const Spec& aSpec)
{
  return Concat(TypeOf(aSpec), "/", NameOf(aSpec));
}

std::string_view
WorkspaceOfBudget(std::string_view aBudget)
{
  return aBudget.substr(0, aBudget.find('/'));
}

absl::Status
Validate(const Spec& aSpec)
{
  return std::visit([](const auto& aOne) { return Check(aOne); }, aSpec);
}

absl::Status
ValidateName(std::string_view aField, std::string_view aName)
{
  const bool allowed = std::all_of(aName.begin(), aName.end(), IsNameByte);
  if (aName.empty() || aName.size() > kMaxNameBytes || !allowed) {
    return MakeError(
      ErrorKind::kMalformed,
      aField,
      "expected 1 to 63 lower-case letters, digits, '-', '_' or '.'");
  }
  return absl::OkStatus();
}

} // namespace cactuswick::model

CACTUSWICK_INSTANTIATE_CODEC(cactuswick::model::Spec);
CACTUSWICK_INSTANTIATE_CODEC(cactuswick::model::Resource);
CACTUSWICK_INSTANTIATE_CODEC(cactuswick::model::Announcement);

#include "cactuswick/check/version/Finding.h"

#include <algorithm>
#include <utility>

#include "cactuswick/model/process/CodecImpl.h"
#include "cactuswick/model/process/Hash.h"
#include "cactuswick/model/process/Text.h"

namespace cactuswick::check {

namespace {

constexpr size_t kMaskDigits = 8;

} // namespace

Finding
ErrorFinding(std::string aPointer, const absl::Status& aStatus)
{
  const model::ErrorKind code = model::KindOf(aStatus);
  const std::string field = model::FieldOf(aStatus);
  return { Severity::kError,
           code == model::ErrorKind::kUnknownResource
             ? FindingKind::kUnknownReference
             : FindingKind::kInvalid,
           std::move(aPointer),
           model::Concat(model::NameOf(code),
                         field.empty() ? "" : " (",
                         field,
                         field.empty() ? ": " : "): ",
                         aStatus.message()),
           code };
}

std::optional<Severity>
WorstOf(const Findings& aFindings)
{
  const auto worst =
    std::min_element(aFindings.begin(),
                     aFindings.end(),
                     [](const Finding& aOne, const Finding& aOther) {
                       return aOne.severity_ < aOther.severity_;
                     });
  return worst == aFindings.end() ? std::nullopt
                                  : std::optional(worst->severity_);
}

std::string
MaskSecret(std::string_view aSecret)
{
  return model::Concat("sha256:",
                       model::Sha256Hex(aSecret).substr(0, kMaskDigits));
}

std::string_view
NameOf(Severity aSeverity)
{
  return EnumNames(&aSeverity)[static_cast<size_t>(aSeverity)];
}

} // namespace cactuswick::check

CACTUSWICK_INSTANTIATE_CODEC(cactuswick::check::Findings);

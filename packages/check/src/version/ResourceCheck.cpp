#include "cactuswick/check/version/ResourceCheck.h"

#include <algorithm>
#include <map>
#include <utility>

#include "cactuswick/ledger/version/Ledger.h"
#include "cactuswick/model/process/Codec.h"
#include "cactuswick/model/process/Json.h"
#include "cactuswick/model/process/Text.h"
#include "version/Differences.h"
#include "version/ResourceLimits.h"

namespace cactuswick::check {

namespace {

using model::Concat;
using model::ErrorKind;
using nlohmann::json;

absl::StatusOr<ResourceEntry>
DecodeEntryJson(json aEntry)
{
  ResourceEntry entry;
  if (aEntry.is_object() && aEntry.contains("base_version") &&
      aEntry["base_version"].is_number_integer()) {
    entry.baseVersion_ = aEntry["base_version"].get<int64_t>();
    aEntry.erase("base_version");
  }
  auto spec = model::DecodeJson<model::Spec>(model::PrintJson(aEntry));
  const absl::Status status =
    spec.ok() ? model::Validate(*spec) : spec.status();
  if (!status.ok()) {
    return status;
  }
  entry.spec_ = *std::move(spec);
  return entry;
}

/// Returns the pointer of a decoder's field, such as "name".
std::string
FieldPointer(const std::string& aEntry, const absl::Status& aStatus)
{
  const std::string field = model::FieldOf(aStatus);
  return field.empty()
           ? aEntry
           : Concat(aEntry, field.starts_with('.') ? "" : "/", field);
}

/// Applies entries one after the other to a ledger of its own, which starts
/// with what is in force.
class ResourceChecker
{
public:
  explicit ResourceChecker(const std::vector<model::Resource>* aInForce)
    : knowsInForce_(aInForce != nullptr)
  {
    if (aInForce == nullptr) {
      return;
    }
    for (const auto& resource : *aInForce) {
      if (!resource.deleted_) {
        const std::string key = model::KeyOf(resource.spec_);
        inForce_.insert_or_assign(key, resource);
        merged_.insert_or_assign(key, Placed{ resource.spec_, "", false });
      }
    }
    // Others refer to workspaces.
    for (const bool workspaces : { true, false }) {
      for (const auto& [key, resource] : inForce_) {
        const bool isWorkspace =
          std::holds_alternative<model::Workspace>(resource.spec_);
        if (isWorkspace == workspaces) {
          Apply(resource.spec_);
        }
      }
    }
  }

  void Check(const std::string& aPointer, const json& aEntry)
  {
    const auto entry = DecodeEntryJson(aEntry);
    if (!entry.ok()) {
      Add(ErrorFinding(FieldPointer(aPointer, entry.status()), entry.status()));
      return;
    }
    const std::string key = model::KeyOf(entry->spec_);
    if (!seen_.emplace(key, aPointer).second) {
      Add({ Severity::kWarning,
            FindingKind::kDuplicate,
            aPointer,
            Concat(key, " is also at ", seen_[key], "; the later one stays") });
    }
    CheckBaseVersion(aPointer, key, *entry);
    CheckRefusal(aPointer, entry->spec_);
    CheckDifferences(aPointer, key, entry->spec_);
    merged_.insert_or_assign(key, Placed{ entry->spec_, aPointer, true });
  }

  Findings Take()
  {
    const Findings limits = CheckResourceLimits(merged_);
    findings_.insert(findings_.end(), limits.begin(), limits.end());
    return std::move(findings_);
  }

private:
  void Add(Finding aFinding) { findings_.push_back(std::move(aFinding)); }

  /// Applies a resource over whatever version of it the ledger has.
  ledger::Reply Apply(const model::Spec& aSpec)
  {
    int64_t& version = versions_[model::KeyOf(aSpec)];
    auto reply = ledger_.Apply(
      ledger::ApplyResource{ Concat("check-", ++requests_), version, aSpec },
      0);
    version += std::holds_alternative<ledger::Accepted>(reply) ? 1 : 0;
    return reply;
  }

  void CheckBaseVersion(const std::string& aPointer,
                        const std::string& aKey,
                        const ResourceEntry& aEntry)
  {
    const auto found = inForce_.find(aKey);
    const int64_t current =
      found == inForce_.end() ? 0 : found->second.version_;
    const bool isKnown =
      knowsInForce_ && (found == inForce_.end() || current > 0);
    if (isKnown && aEntry.baseVersion_.value_or(current) != current) {
      Add(ErrorFinding(
        aPointer + "/base_version",
        model::MakeError(ErrorKind::kVersionConflict,
                         "base_version",
                         Concat("the current version is ", current))));
    }
  }

  void CheckRefusal(const std::string& aPointer, const model::Spec& aSpec)
  {
    const auto reply = Apply(aSpec);
    const auto* rejected = std::get_if<ledger::Rejected>(&reply);
    if (rejected == nullptr) {
      return;
    }
    Finding finding = ErrorFinding(
      Concat(aPointer, "/", rejected->field_),
      model::MakeError(rejected->kind_, rejected->field_, rejected->detail_));
    if (!knowsInForce_ && rejected->kind_ == ErrorKind::kUnknownResource) {
      finding.severity_ = Severity::kNote;
      finding.code_.reset();
      finding.message_ =
        Concat(rejected->detail_, " unless it is in force already");
    }
    Add(std::move(finding));
  }

  void CheckDifferences(const std::string& aPointer,
                        const std::string& aKey,
                        const model::Spec& aSpec)
  {
    const auto found = inForce_.find(aKey);
    if (knowsInForce_ && found == inForce_.end()) {
      Add(
        { Severity::kNote, FindingKind::kAdded, aPointer, aKey + " is added" });
    }
    if (found == inForce_.end()) {
      return;
    }
    const auto before = json::parse(model::EncodeJson(found->second.spec_));
    const auto after = json::parse(model::EncodeJson(aSpec));
    for (const auto& one : FindDifferences(before, after)) {
      Add({ Severity::kNote,
            FindingKind::kChanged,
            Concat(aPointer, "/", one.path_.back()),
            Concat(aKey,
                   ": ",
                   one.path_.back(),
                   " changes from ",
                   ValueText(one.path_.back(), *one.before_),
                   " to ",
                   ValueText(one.path_.back(), *one.after_)) });
    }
  }

  static std::string ValueText(const std::string& aField, const json& aValue)
  {
    return aField == "sha256" ? MaskSecret(aValue.get<std::string>())
                              : model::PrintJson(aValue);
  }

  bool knowsInForce_;
  std::map<std::string, model::Resource> inForce_;
  /// What will be in force, by "type/name".
  PlacedSpecs merged_;
  /// Pointers of the entries checked so far.
  std::map<std::string, std::string> seen_;
  ledger::Ledger ledger_;
  /// Versions in the own ledger.
  std::map<std::string, int64_t> versions_;
  int64_t requests_ = 0;
  Findings findings_;
};

} // namespace

absl::StatusOr<ResourceEntry>
DecodeEntry(std::string_view aEntry)
{
  auto document = model::ParseJson(aEntry);
  return document.ok() ? DecodeEntryJson(*std::move(document))
                       : document.status();
}

absl::StatusOr<std::vector<model::Resource>>
DecodeResources(std::string_view aDocument)
{
  const auto document = model::ParseJson(aDocument);
  if (!document.ok()) {
    return document.status();
  }
  std::vector<model::Resource> resources;
  for (const auto& entry :
       document->is_array() ? *document : json::array({ *document })) {
    auto decoded = DecodeEntryJson(entry);
    if (!decoded.ok()) {
      return decoded.status();
    }
    resources.push_back({ .spec_ = std::move(decoded->spec_) });
  }
  return resources;
}

Findings
CheckResources(std::string_view aDocument,
               const std::vector<model::Resource>* aInForce)
{
  const auto document = model::ParseJson(aDocument);
  if (!document.ok()) {
    return { ErrorFinding("", document.status()) };
  }
  ResourceChecker checker(aInForce);
  if (!document->is_array()) {
    checker.Check("", *document);
  }
  for (size_t i = 0; document->is_array() && i < document->size(); ++i) {
    checker.Check(Concat("/", i), (*document)[i]);
  }
  Findings findings = checker.Take();
  std::stable_sort(findings.begin(),
                   findings.end(),
                   [](const Finding& aOne, const Finding& aOther) {
                     return aOne.severity_ < aOther.severity_;
                   });
  return findings;
}

} // namespace cactuswick::check

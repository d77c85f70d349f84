#include "version/InForceCheck.h"

#include <map>

#include "cactuswick/model/process/Codec.h"
#include "cactuswick/model/process/Json.h"
#include "cactuswick/model/process/Text.h"
#include "version/Differences.h"

namespace cactuswick::check {

namespace {

using model::AppendTo;
using model::Concat;
using nlohmann::json;

/// Word for an entry of a deployment's list.
const std::map<std::string_view, std::string_view> kEntryWords = {
  { "routes", "route" },
  { "services", "service" },
  { "workspaces", "workspace" },
};

bool
IsApiKey(const Difference& aDifference)
{
  const auto& path = aDifference.path_;
  return path.size() == 4 && path[0] == "workspaces" && path[2] == "api_keys";
}

/// Returns "route r1: timeout_ms " or the like, without secrets.
std::string
Subject(const Difference& aDifference)
{
  const auto& path = aDifference.path_;
  const auto word = kEntryWords.find(path.front());
  const bool isEntry = word != kEntryWords.end() && path.size() > 1;
  std::string text =
    isEntry ? Concat(word->second, " ", path[1], path.size() > 2 ? ": " : " ")
            : "";
  if (IsApiKey(aDifference)) {
    // A repeated key has its number in a second line.
    const std::string key = path.back().substr(0, path.back().find('\n'));
    return Concat(text, "API key ", MaskSecret(key), " ");
  }
  for (size_t i = isEntry ? 2 : 0; i < path.size(); ++i) {
    AppendTo(text, path[i], i + 1 < path.size() ? "/" : " ");
  }
  return text;
}

std::string
ValueText(const json& aValue)
{
  return aValue.is_null() ? "none" : model::PrintJson(aValue);
}

Finding
DifferenceFinding(const Difference& aDifference,
                  const json& aBefore,
                  const json& aAfter)
{
  Finding finding{ .kind_ = FindingKind::kChanged,
                   .pointer_ = PointerOf(aDifference.after_ ? aAfter : aBefore,
                                         aDifference.path_),
                   .message_ = Subject(aDifference) };
  if (!aDifference.before_) {
    finding.kind_ = FindingKind::kAdded;
    finding.message_ += "is added";
  } else if (!aDifference.after_) {
    finding.kind_ = FindingKind::kRemoved;
    finding.message_ += "is removed";
  } else {
    AppendTo(finding.message_,
             "changes from ",
             ValueText(*aDifference.before_),
             " to ",
             ValueText(*aDifference.after_));
  }
  return finding;
}

/// Returns the route for the shortest path that @p aOld serves, or null.
const model::ForwardRoute*
SuccessorOf(const model::ForwardRoute& aOld,
            const std::vector<model::ForwardRoute>& aRoutes)
{
  const model::ForwardRoute* best = nullptr;
  for (const auto& route : aRoutes) {
    const bool matches = route.host_ == aOld.host_ &&
                         aOld.pathPrefix_.starts_with(route.pathPrefix_);
    if (matches && (best == nullptr ||
                    route.pathPrefix_.size() > best->pathPrefix_.size())) {
      best = &route;
    }
  }
  return best;
}

void
FindCutRoutes(const model::Deployment& aDeployment,
              const model::Deployment& aInForce,
              Findings& aFindings)
{
  for (size_t i = 0; i < aInForce.routes_.size(); ++i) {
    const auto& old = aInForce.routes_[i];
    if (SuccessorOf(old, aDeployment.routes_) == nullptr) {
      aFindings.push_back({ Severity::kWarning,
                            FindingKind::kCutsCallers,
                            Concat("/routes/", i),
                            Concat("no route is left for requests to ",
                                   old.host_,
                                   old.pathPrefix_,
                                   ", which route ",
                                   old.name_,
                                   " serves now") });
    }
  }
}

void
FindCutKeys(const model::Deployment& aDeployment,
            const model::Deployment& aInForce,
            Findings& aFindings)
{
  std::map<std::string, std::string> owners;
  for (const auto& workspace : aDeployment.workspaces_) {
    for (const auto& key : workspace.apiKeys_) {
      owners.emplace(key, workspace.name_);
    }
  }
  for (size_t i = 0; i < aInForce.workspaces_.size(); ++i) {
    const auto& old = aInForce.workspaces_[i];
    for (size_t k = 0; k < old.apiKeys_.size(); ++k) {
      const auto owner = owners.find(old.apiKeys_[k]);
      const bool isRefused =
        owner == owners.end() && !aDeployment.workspaces_.empty();
      if (isRefused) {
        aFindings.push_back(
          { Severity::kWarning,
            FindingKind::kCutsCallers,
            Concat("/workspaces/", i, "/api_keys/", k),
            Concat("callers of workspace ",
                   old.name_,
                   " with API key ",
                   MaskSecret(old.apiKeys_[k]),
                   " are refused on all routes that are not public") });
      }
    }
  }
}

} // namespace

Findings
CheckAgainst(const model::Deployment& aDeployment,
             const model::Deployment& aInForce)
{
  const auto before = model::ParseJson(model::EncodeJson(aInForce));
  const auto after = model::ParseJson(model::EncodeJson(aDeployment));
  if (!before.ok() || !after.ok()) {
    return { ErrorFinding("", before.ok() ? after.status() : before.status()) };
  }
  Findings findings;
  const auto differences = FindDifferences(Keyed(*before), Keyed(*after));
  for (const auto& difference : differences) {
    findings.push_back(DifferenceFinding(difference, *before, *after));
  }
  if (!differences.empty() && aDeployment.version_ <= aInForce.version_) {
    findings.push_back({ Severity::kWarning,
                         FindingKind::kNoEffect,
                         "/version",
                         Concat("version ",
                                aInForce.version_,
                                " is in force; only a higher one takes "
                                "effect") });
  }
  FindCutRoutes(aDeployment, aInForce, findings);
  FindCutKeys(aDeployment, aInForce, findings);
  return findings;
}

} // namespace cactuswick::check

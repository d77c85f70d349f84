#include "version/MatchCheck.h"

#include <set>

#include "cactuswick/model/process/Text.h"

namespace cactuswick::check {

namespace {

using model::Concat;

Finding
Warning(FindingKind aKind, const std::string& aPointer, std::string aMessage)
{
  return { Severity::kWarning, aKind, aPointer, std::move(aMessage) };
}

/// Warns of entries of a list whose name an earlier entry has.
template<class Entry>
void
FindRepeatedNames(const std::vector<Entry>& aEntries,
                  std::string_view aList,
                  Findings& aFindings)
{
  std::set<std::string> names;
  for (size_t i = 0; i < aEntries.size(); ++i) {
    if (!names.insert(aEntries[i].name_).second) {
      aFindings.push_back(
        Warning(FindingKind::kDuplicate,
                Concat("/", aList, "/", i, "/name"),
                Concat("an earlier entry has the name ", aEntries[i].name_)));
    }
  }
}

void
CheckMatcher(const model::ForwardRoute& aRoute,
             const std::string& aPointer,
             const model::CallerLimits& aLimits,
             Findings& aFindings)
{
  const std::string& prefix = aRoute.pathPrefix_;
  const std::string route = Concat("route ", aRoute.name_, ": ");
  if (aRoute.host_.empty() ||
      aRoute.host_.find_first_of(" /:?#") != std::string::npos) {
    aFindings.push_back(
      Warning(FindingKind::kNeverMatches,
              aPointer + "/host",
              route + "no request has such a host; expected a name without "
                      "scheme, port and path"));
  }
  if (!prefix.starts_with('/') ||
      prefix.find_first_of(" ?#") != std::string::npos) {
    aFindings.push_back(
      Warning(FindingKind::kNeverMatches,
              aPointer + "/path_prefix",
              route + "no request has such a path; expected a leading slash "
                      "and no query"));
  } else if (!prefix.ends_with('/')) {
    aFindings.push_back(
      Warning(FindingKind::kInvalid,
              aPointer + "/path_prefix",
              route + "expected a slash at the end: the prefix also matches "
                      "longer names"));
  }
  if (static_cast<int64_t>(prefix.size()) > aLimits.maxHeaderBytes_) {
    aFindings.push_back(
      Warning(FindingKind::kNeverMatches,
              aPointer + "/path_prefix",
              route + "longer than the largest head of a request"));
  }
}

void
CheckSplit(const model::ForwardRoute& aRoute,
           const std::string& aPointer,
           Findings& aFindings)
{
  std::set<std::string> services;
  for (size_t i = 0; i < aRoute.split_.size(); ++i) {
    const auto& share = aRoute.split_[i];
    const std::string pointer = Concat(aPointer, "/split/", i);
    const std::string route = Concat("route ", aRoute.name_, ": ");
    if (!services.insert(share.service_).second) {
      aFindings.push_back(
        Warning(FindingKind::kDuplicate,
                pointer + "/service",
                Concat(route, "service ", share.service_, " is named twice")));
    }
    if (share.weight_ == 0) {
      aFindings.push_back(Warning(
        FindingKind::kNeverMatches,
        pointer + "/weight",
        Concat(
          route, "service ", share.service_, " has no share of the requests")));
    }
  }
}

void
CheckRoutes(const model::Deployment& aDeployment, Findings& aFindings)
{
  for (size_t i = 0; i < aDeployment.routes_.size(); ++i) {
    const auto& route = aDeployment.routes_[i];
    const std::string pointer = Concat("/routes/", i);
    CheckMatcher(route, pointer, aDeployment.limits_, aFindings);
    CheckSplit(route, pointer, aFindings);
  }
}

void
CheckServices(const model::Deployment& aDeployment, Findings& aFindings)
{
  std::set<std::string> used;
  for (const auto& route : aDeployment.routes_) {
    for (const auto& share : route.split_) {
      used.insert(share.service_);
    }
  }
  for (size_t i = 0; i < aDeployment.services_.size(); ++i) {
    const std::string& name = aDeployment.services_[i].name_;
    if (!used.contains(name)) {
      aFindings.push_back({ Severity::kNote,
                            FindingKind::kUnused,
                            Concat("/services/", i),
                            Concat("no route forwards to service ", name) });
    }
  }
}

void
CheckKeys(const model::Deployment& aDeployment, Findings& aFindings)
{
  for (size_t i = 0; i < aDeployment.workspaces_.size(); ++i) {
    const auto& workspace = aDeployment.workspaces_[i];
    const std::string pointer = Concat("/workspaces/", i, "/api_keys");
    const std::string name = Concat("workspace ", workspace.name_, ": ");
    std::set<std::string> keys;
    for (size_t k = 0; k < workspace.apiKeys_.size(); ++k) {
      const std::string& key = workspace.apiKeys_[k];
      if (key.empty()) {
        aFindings.push_back(
          Warning(FindingKind::kInvalid,
                  Concat(pointer, "/", k),
                  name + "an empty API key admits callers that send none"));
      }
      if (!keys.insert(key).second) {
        aFindings.push_back(Warning(
          FindingKind::kDuplicate,
          Concat(pointer, "/", k),
          Concat(name, "API key ", MaskSecret(key), " is there twice")));
      }
    }
    if (keys.empty()) {
      aFindings.push_back(
        Warning(FindingKind::kNeverMatches,
                pointer,
                name + "has no API key, so no caller belongs to it"));
    }
  }
}

} // namespace

Findings
CheckMatches(const model::Deployment& aDeployment)
{
  Findings findings;
  FindRepeatedNames(aDeployment.routes_, "routes", findings);
  FindRepeatedNames(aDeployment.services_, "services", findings);
  FindRepeatedNames(aDeployment.workspaces_, "workspaces", findings);
  CheckRoutes(aDeployment, findings);
  CheckServices(aDeployment, findings);
  CheckKeys(aDeployment, findings);
  return findings;
}

} // namespace cactuswick::check

#include "cactuswick/routing/process/AdmittedVersions.h"

#include <algorithm>

namespace cactuswick::routing {

AdmittedVersions::AdmittedVersions(
  const std::vector<model::ServiceVersions>& aServices)
{
  for (const auto& service : aServices) {
    versions_[service.service_] = service.versions_;
  }
}

bool
AdmittedVersions::Admits(const std::string& aService,
                         const std::string& aVersion) const
{
  const auto found = versions_.find(aService);
  return found == versions_.end() ||
         std::find(found->second.begin(), found->second.end(), aVersion) !=
           found->second.end();
}

bool
AdmittedVersions::Knows(const std::string& aService) const
{
  return versions_.contains(aService);
}

std::optional<std::string>
AdmittedVersions::OnlyVersionOf(const std::string& aService) const
{
  const auto found = versions_.find(aService);
  return found != versions_.end() && found->second.size() == 1
           ? std::optional(found->second.front())
           : std::nullopt;
}

std::vector<model::StreamOrigin>
AdmittedVersions::All() const
{
  std::vector<model::StreamOrigin> all;
  for (const auto& [service, versions] : versions_) {
    for (const auto& version : versions) {
      all.push_back({ service, version });
    }
  }
  return all;
}

} // namespace cactuswick::routing

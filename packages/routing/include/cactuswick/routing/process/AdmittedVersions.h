#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cactuswick/model/version/StreamOrigin.h"

namespace cactuswick::routing {

/// The software versions of each service at which streams may begin and may
/// have begun. A service without any is not restricted.
class AdmittedVersions
{
public:
  AdmittedVersions() = default;
  explicit AdmittedVersions(
    const std::vector<model::ServiceVersions>& aServices);

  /// Returns whether endpoints of this software version may get requests.
  bool Admits(const std::string& aService, const std::string& aVersion) const;
  /// Returns whether the admitted versions of a service are known.
  bool Knows(const std::string& aService) const;
  /// Returns the version of all streams of a service; nullopt if they may be of
  /// several, or of none that is known.
  std::optional<std::string> OnlyVersionOf(const std::string& aService) const;

  /// Returns all versions of all services.
  std::vector<model::StreamOrigin> All() const;

  bool operator==(const AdmittedVersions&) const = default;

private:
  std::map<std::string, std::vector<std::string>> versions_;
};

} // namespace cactuswick::routing

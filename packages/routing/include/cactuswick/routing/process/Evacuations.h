#pragma once

#include <set>
#include <string>
#include <vector>

namespace cactuswick::routing {

/// Failure domains that operators have evacuated: their endpoints get no new
/// requests. Answers the load that moves at once when a failure domain is taken
/// out of service for maintenance.
class Evacuations
{
public:
  Evacuations() = default;
  explicit Evacuations(const std::vector<std::string>& aFailureDomains);

  bool Contains(const std::string& aFailureDomain) const
  {
    return failureDomains_.contains(aFailureDomain);
  }
  size_t Size() const { return failureDomains_.size(); }
  /// Returns the names of the failure domains in order, separated by commas.
  std::string ToString() const;

  bool operator==(const Evacuations&) const = default;

private:
  std::set<std::string> failureDomains_;
};

} // namespace cactuswick::routing

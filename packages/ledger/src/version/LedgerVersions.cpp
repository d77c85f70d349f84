// Ledger: software versions of services at which streams may begin.

#include <algorithm>

#include "cactuswick/ledger/version/Ledger.h"

namespace cactuswick::ledger {

Reply
Ledger::On(const AdmitVersion& aCommand)
{
  const bool isValid = !aCommand.service_.empty() &&
                       aCommand.service_.size() <= kMaxVersionBytes &&
                       aCommand.softwareVersion_.size() <= kMaxVersionBytes;
  if (!isValid) {
    return Rejected{ model::ErrorKind::kMalformed,
                     "service",
                     "the names of service and version are out of bounds" };
  }
  const auto found = versions_.find(aCommand.service_);
  const size_t count = found == versions_.end() ? 0 : found->second.size();
  if (count > 0 &&
      std::find(found->second.begin(),
                found->second.end(),
                aCommand.softwareVersion_) != found->second.end()) {
    return Accepted{ .revision_ = counters_.revision_ };
  }
  if (count >= kMaxAdmittedVersions ||
      (count == 0 && versions_.size() >= kMaxVersionedServices)) {
    return Rejected{ model::ErrorKind::kOutOfRange,
                     "service",
                     "too many software versions are admitted" };
  }
  versions_[aCommand.service_].push_back(aCommand.softwareVersion_);
  counters_.versionsRevision_ = ++counters_.revision_;
  return Accepted{ .revision_ = counters_.revision_ };
}

Reply
Ledger::On(const WithdrawVersion& aCommand)
{
  const auto found = versions_.find(aCommand.service_);
  if (found == versions_.end() ||
      std::erase(found->second, aCommand.softwareVersion_) == 0) {
    return Accepted{ .revision_ = counters_.revision_ };
  }
  if (found->second.empty()) {
    versions_.erase(found);
  }
  counters_.versionsRevision_ = ++counters_.revision_;
  return Accepted{ .revision_ = counters_.revision_ };
}

bool
Ledger::HasSeveralVersions() const
{
  return std::any_of(
    versions_.begin(), versions_.end(), [](const auto& aService) {
      return aService.second.size() > 1;
    });
}

} // namespace cactuswick::ledger

// EndpointTable: which endpoints may get requests.

#include "cactuswick/routing/process/EndpointTable.h"

#include <algorithm>
#include <utility>

namespace cactuswick::routing {

namespace {

/// Versions of one service that are recorded; two are enough to know that there
/// are several.
constexpr size_t kMaxRecordedVersions = 8;
constexpr size_t kMaxUnknownVersions = 8'192;

} // namespace

void
EndpointTable::SetEvacuations(Evacuations aEvacuations)
{
  evacuations_ = std::move(aEvacuations);
}

bool
EndpointTable::IsUsable(const EndpointState& aEndpoint,
                        const std::string& aServes,
                        int64_t aNowMs) const
{
  return IsAvailable(aEndpoint, aServes, aNowMs) &&
         !evacuations_.Contains(aEndpoint.announcement_.failureDomain_) &&
         aEndpoint.isAdmitted_;
}

void
EndpointTable::SetAdmittedVersions(AdmittedVersions aVersions, int64_t aNowMs)
{
  for (const auto& origin : aVersions.All()) {
    const bool isOther =
      admitted_.Knows(origin.service_) &&
      !admitted_.Admits(origin.service_, origin.softwareVersion_);
    if (isOther) {
      opensMs_[origin] = aNowMs + kVersionOpensMs;
    }
  }
  admitted_ = std::move(aVersions);
  UpdateAdmitted();
}

void
EndpointTable::OpenVersions(int64_t aNowMs)
{
  const auto opened = std::erase_if(
    opensMs_, [&](const auto& aPair) { return aPair.second <= aNowMs; });
  if (opened > 0) {
    UpdateAdmitted();
  }
}

void
EndpointTable::UpdateAdmitted()
{
  for (auto& [name, endpoint] : endpoints_) {
    endpoint.isAdmitted_ = IsAdmitted(endpoint.announcement_);
  }
}

bool
EndpointTable::IsAdmitted(const model::Announcement& aAnnouncement) const
{
  const auto& serves = aAnnouncement.serves_;
  return std::all_of(
    serves.begin(), serves.end(), [&](const std::string& aService) {
      const std::string& version = aAnnouncement.softwareVersion_;
      return admitted_.Admits(aService, version) &&
             !opensMs_.contains({ aService, version });
    });
}

std::set<std::string>
EndpointTable::VersionsOf(const std::string& aServes) const
{
  const auto found = announcedVersions_.find(aServes);
  auto versions =
    found == announcedVersions_.end() ? std::set<std::string>() : found->second;
  const auto unknown = unknownVersions_.find(aServes);
  if (unknown != unknownVersions_.end() && !unknown->second.empty()) {
    versions.insert("");
  }
  return versions;
}

void
EndpointTable::RecordVersion(const model::Announcement& aAnnouncement)
{
  const std::pair run{ aAnnouncement.endpoint_, aAnnouncement.incarnation_ };
  for (const auto& service : aAnnouncement.serves_) {
    auto& versions = announcedVersions_[service];
    auto& unknown = unknownVersions_[service];
    if (aAnnouncement.softwareVersion_.empty() &&
        unknown.size() < kMaxUnknownVersions) {
      unknown.insert(run);
      continue;
    }
    unknown.erase(run);
    if (versions.size() < kMaxRecordedVersions) {
      versions.insert(aAnnouncement.softwareVersion_);
    }
  }
}

bool
EndpointTable::ServesAt(const model::StreamOrigin& aOrigin,
                        int64_t aNowMs) const
{
  return std::any_of(
    endpoints_.begin(), endpoints_.end(), [&](const auto& aPair) {
      return IsOfVersion(aPair.second, aOrigin.softwareVersion_) &&
             IsUsable(aPair.second, aOrigin.service_, aNowMs);
    });
}

bool
EndpointTable::IsOfVersion(const EndpointState& aEndpoint,
                           const std::optional<std::string>& aVersion)
{
  return !aVersion || aEndpoint.announcement_.softwareVersion_ == *aVersion;
}

bool
EndpointTable::IsAvailable(const EndpointState& aEndpoint,
                           const std::string& aServes,
                           int64_t aNowMs)
{
  const auto& announcement = aEndpoint.announcement_;
  const auto& serves = announcement.serves_;
  return !announcement.leaving_ &&
         aNowMs - aEndpoint.announcedMs_ <= announcement.leaseMs_ &&
         std::find(serves.begin(), serves.end(), aServes) != serves.end();
}

bool
EndpointTable::MayTakeRequest(const EndpointState& aEndpoint,
                              const std::string& aServes,
                              int64_t aNowMs) const
{
  return static_cast<double>(aEndpoint.inFlight_ + 1) <= aEndpoint.window_ &&
         !IsBackingOff(aEndpoint, aNowMs) &&
         warmUp_.Allows(aEndpoint.announcement_.endpoint_, aServes, aNowMs);
}

bool
EndpointTable::IsBackingOff(const EndpointState& aEndpoint, int64_t aNowMs)
{
  return aEndpoint.signals_.IsBackingOff(aEndpoint.announcement_.incarnation_,
                                         aNowMs);
}

bool
EndpointTable::TakesRequests(const std::string& aEndpoint,
                             int64_t aIncarnation,
                             int64_t aNowMs) const
{
  const auto found = endpoints_.find(aEndpoint);
  return found != endpoints_.end() &&
         found->second.announcement_.incarnation_ == aIncarnation &&
         !found->second.announcement_.leaving_ &&
         !evacuations_.Contains(found->second.announcement_.failureDomain_) &&
         !IsBackingOff(found->second, aNowMs);
}

std::optional<int64_t>
EndpointTable::BackoffUntilMs(const std::string& aServes, int64_t aNowMs) const
{
  std::optional<int64_t> earliest;
  for (const auto& [name, endpoint] : endpoints_) {
    if (!IsUsable(endpoint, aServes, aNowMs)) {
      continue;
    }
    if (!IsBackingOff(endpoint, aNowMs)) {
      return std::nullopt;
    }
    const int64_t until =
      endpoint.signals_.BackoffUntilMs(endpoint.announcement_.incarnation_);
    earliest = std::min(earliest.value_or(until), until);
  }
  return earliest;
}

bool
EndpointTable::HasCapacity(const std::string& aServes, int64_t aNowMs) const
{
  return std::any_of(
    endpoints_.begin(), endpoints_.end(), [&](const auto& aPair) {
      return IsUsable(aPair.second, aServes, aNowMs) &&
             MayTakeRequest(aPair.second, aServes, aNowMs);
    });
}

bool
EndpointTable::Serves(const std::string& aServes, int64_t aNowMs) const
{
  return std::any_of(
    endpoints_.begin(), endpoints_.end(), [&](const auto& aPair) {
      return IsUsable(aPair.second, aServes, aNowMs);
    });
}

bool
EndpointTable::IsEvacuated(const std::string& aServes, int64_t aNowMs) const
{
  const bool isAvailable =
    std::any_of(endpoints_.begin(), endpoints_.end(), [&](const auto& aPair) {
      return IsAvailable(aPair.second, aServes, aNowMs);
    });
  return isAvailable && !Serves(aServes, aNowMs);
}

bool
EndpointTable::TakesRequestsAt(const std::string& aAddress,
                               int64_t aNowMs) const
{
  return std::any_of(
    endpoints_.begin(), endpoints_.end(), [&](const auto& aPair) {
      const auto& announcement = aPair.second.announcement_;
      return announcement.address_ == aAddress &&
             TakesRequests(
               announcement.endpoint_, announcement.incarnation_, aNowMs);
    });
}

std::vector<std::string>
EndpointTable::AddressesInUse() const
{
  std::vector<std::string> addresses;
  for (const auto& [name, endpoint] : endpoints_) {
    if (!endpoint.announcement_.leaving_) {
      addresses.push_back(endpoint.announcement_.address_);
    }
  }
  return addresses;
}

} // namespace cactuswick::routing

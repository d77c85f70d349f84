#include "process/EndpointDirectory.h"

#include <algorithm>

namespace cactuswick::control {

namespace {

/// Retention of the last announcement of a lost endpoint, so that a delayed
/// copy of it does not bring the endpoint back.
constexpr int64_t kLostKeptMs = 10LL * 60 * 1'000;

} // namespace

bool
EndpointDirectory::IsAddressTaken(
  const model::Announcement& aAnnouncement) const
{
  return std::any_of(
    endpoints_.begin(), endpoints_.end(), [&](const auto& aPair) {
      const auto& other = aPair.second.announcement_;
      return other.endpoint_ != aAnnouncement.endpoint_ &&
             other.address_ == aAnnouncement.address_ &&
             other.incarnation_ > aAnnouncement.incarnation_;
    });
}

void
EndpointDirectory::DropOthersAtAddress(const model::Announcement& aAnnouncement)
{
  std::erase_if(endpoints_, [&](const auto& aPair) {
    const auto& other = aPair.second.announcement_;
    return other.endpoint_ != aAnnouncement.endpoint_ &&
           other.address_ == aAnnouncement.address_;
  });
}

bool
EndpointDirectory::IsObsolete(const model::Announcement& aAnnouncement) const
{
  const auto retired = retired_.find(aAnnouncement.endpoint_);
  if (retired != retired_.end() &&
      aAnnouncement.incarnation_ <= retired->second) {
    return true;
  }
  const auto lost = lost_.find(aAnnouncement.endpoint_);
  return lost != lost_.end() &&
         model::VersionOf(aAnnouncement) <= lost->second.lastOrder_;
}

AnnouncementResult
EndpointDirectory::ApplyAnnouncement(const model::Announcement& aAnnouncement,
                                     int64_t aAgeMs,
                                     int64_t aNowMs)
{
  const auto found = endpoints_.find(aAnnouncement.endpoint_);
  const bool isKnown = found != endpoints_.end();
  // An endpoint that is known at this address is the only one there, so the
  // scan for others is skipped.
  const bool keepsAddress =
    isKnown && found->second.announcement_.address_ == aAnnouncement.address_;
  if (IsObsolete(aAnnouncement) ||
      (!keepsAddress && IsAddressTaken(aAnnouncement))) {
    return AnnouncementResult::kStale;
  }
  const int64_t contactMs = aNowMs - aAgeMs;
  if (!isKnown) {
    DropOthersAtAddress(aAnnouncement);
    endpoints_[aAnnouncement.endpoint_] = { aAnnouncement, contactMs };
    return AnnouncementResult::kChange;
  }
  KnownEndpoint& known = found->second;
  if (model::VersionOf(aAnnouncement) <=
      model::VersionOf(known.announcement_)) {
    return AnnouncementResult::kStale;
  }
  if (!keepsAddress) {
    DropOthersAtAddress(aAnnouncement);
  }
  const int64_t elapsedMs = contactMs - known.lastContactMs_;
  const model::Announcement next =
    model::KeepSoftwareVersion(aAnnouncement, known.announcement_);
  const bool renewal = model::IsRenewal(next, known.announcement_, elapsedMs);
  known = { renewal ? model::KeepColdEnd(next, known.announcement_, elapsedMs)
                    : next,
            std::max(known.lastContactMs_, contactMs) };
  return renewal ? AnnouncementResult::kRenewal : AnnouncementResult::kChange;
}

void
EndpointDirectory::Retire(const std::string& aEndpoint, int64_t aIncarnation)
{
  int64_t& newest = retired_[aEndpoint];
  newest = std::max(newest, aIncarnation);
  const auto found = endpoints_.find(aEndpoint);
  if (found != endpoints_.end() &&
      found->second.announcement_.incarnation_ <= newest) {
    endpoints_.erase(found);
  }
}

std::vector<transport::EndpointLost>
EndpointDirectory::Expire(int64_t aNowMs, int64_t aNotBeforeMs)
{
  std::vector<transport::EndpointLost> lost;
  if (aNowMs < aNotBeforeMs) {
    return lost;
  }
  std::erase_if(lost_, [&](const auto& aPair) {
    return aNowMs - aPair.second.lostMs_ > kLostKeptMs;
  });
  std::erase_if(endpoints_, [&](const auto& aPair) {
    const KnownEndpoint& known = aPair.second;
    const bool leaseExpired =
      aNowMs - known.lastContactMs_ > known.announcement_.leaseMs_;
    if (leaseExpired) {
      lost_[aPair.first] = { model::VersionOf(known.announcement_), aNowMs };
      lost.push_back(
        { known.announcement_.endpoint_, known.announcement_.incarnation_ });
    }
    return leaseExpired;
  });
  return lost;
}

std::optional<int64_t>
EndpointDirectory::KnownIncarnation(const std::string& aEndpoint) const
{
  const auto found = endpoints_.find(aEndpoint);
  return found == endpoints_.end()
           ? std::nullopt
           : std::optional(found->second.announcement_.incarnation_);
}

std::vector<transport::RelayedAnnouncement>
EndpointDirectory::All(int64_t aNowMs) const
{
  std::vector<transport::RelayedAnnouncement> all;
  for (const auto& [name, known] : endpoints_) {
    all.push_back({ known.announcement_, aNowMs - known.lastContactMs_ });
  }
  return all;
}

void
EndpointDirectory::AddOrigins(std::set<model::StreamOrigin>& aOrigins) const
{
  for (const auto& [name, known] : endpoints_) {
    for (const auto& service : known.announcement_.serves_) {
      aOrigins.insert({ service, known.announcement_.softwareVersion_ });
    }
  }
}

} // namespace cactuswick::control

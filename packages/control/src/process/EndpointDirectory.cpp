#include "process/EndpointDirectory.h"

#include <algorithm>

namespace cactuswick::control {

namespace {

/// How long the last announcement of a lost endpoint is remembered.
constexpr int64_t kLostKeptMs = 10LL * 60 * 1'000;

} // namespace

bool
EndpointDirectory::AddressIsTaken(
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
EndpointDirectory::DropOthersAt(const model::Announcement& aAnnouncement)
{
  std::erase_if(endpoints_, [&](const auto& aPair) {
    const auto& other = aPair.second.announcement_;
    return other.endpoint_ != aAnnouncement.endpoint_ &&
           other.address_ == aAnnouncement.address_;
  });
}

bool
EndpointDirectory::IsOver(const model::Announcement& aAnnouncement) const
{
  const auto retired = retired_.find(aAnnouncement.endpoint_);
  if (retired != retired_.end() &&
      aAnnouncement.incarnation_ <= retired->second) {
    return true;
  }
  const auto lost = lost_.find(aAnnouncement.endpoint_);
  return lost != lost_.end() &&
         model::VersionOf(aAnnouncement) <= lost->second.last_;
}

Hearing
EndpointDirectory::Hear(const model::Announcement& aAnnouncement,
                        int64_t aAgeMs,
                        int64_t aNowMs)
{
  const auto found = endpoints_.find(aAnnouncement.endpoint_);
  const bool isKnown = found != endpoints_.end();
  // Nobody else has the address of an endpoint that is known at it.
  const bool keepsAddress =
    isKnown && found->second.announcement_.address_ == aAnnouncement.address_;
  if (IsOver(aAnnouncement) ||
      (!keepsAddress && AddressIsTaken(aAnnouncement))) {
    return Hearing::kStale;
  }
  const int64_t heardMs = aNowMs - aAgeMs;
  if (!isKnown) {
    DropOthersAt(aAnnouncement);
    endpoints_[aAnnouncement.endpoint_] = { aAnnouncement, heardMs };
    return Hearing::kNews;
  }
  Known& known = found->second;
  if (model::VersionOf(aAnnouncement) <=
      model::VersionOf(known.announcement_)) {
    return Hearing::kStale;
  }
  if (!keepsAddress) {
    DropOthersAt(aAnnouncement);
  }
  const bool renewal = model::IsRenewal(aAnnouncement, known.announcement_);
  known = { aAnnouncement, std::max(known.heardMs_, heardMs) };
  return renewal ? Hearing::kRenewal : Hearing::kNews;
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
    const Known& known = aPair.second;
    const bool silent = aNowMs - known.heardMs_ > known.announcement_.leaseMs_;
    if (silent) {
      lost_[aPair.first] = { model::VersionOf(known.announcement_), aNowMs };
      lost.push_back(
        { known.announcement_.endpoint_, known.announcement_.incarnation_ });
    }
    return silent;
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

std::vector<transport::EndpointNews>
EndpointDirectory::All(int64_t aNowMs) const
{
  std::vector<transport::EndpointNews> all;
  for (const auto& [name, known] : endpoints_) {
    all.push_back({ known.announcement_, aNowMs - known.heardMs_ });
  }
  return all;
}

} // namespace cactuswick::control

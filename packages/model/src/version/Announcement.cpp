#include "cactuswick/model/version/Announcement.h"

#include <algorithm>

namespace cactuswick::model {

namespace {

int64_t
ColdLeftAfter(const Announcement& aAnnouncement, int64_t aElapsedMs)
{
  const int64_t elapsedMs = std::max(int64_t{ 0 }, aElapsedMs);
  return std::max(int64_t{ 0 }, aAnnouncement.coldLeftMs_ - elapsedMs);
}

} // namespace

AnnouncementVersion
VersionOf(const Announcement& aAnnouncement)
{
  return { aAnnouncement.incarnation_, aAnnouncement.sequence_ };
}

int64_t
ClampColdLeftMs(double aMs)
{
  return static_cast<int64_t>(
    std::clamp(aMs, 0.0, static_cast<double>(kMaxColdLeftMs)));
}

bool
IsRenewal(const Announcement& aNew,
          const Announcement& aOld,
          int64_t aElapsedMs)
{
  Announcement renewed = aOld;
  renewed.sequence_ = aNew.sequence_;
  renewed.inFlight_ = aNew.inFlight_;
  renewed.coldLeftMs_ = aNew.coldLeftMs_;
  return aNew == renewed &&
         aNew.coldLeftMs_ <= ColdLeftAfter(aOld, aElapsedMs) + kColdJitterMs;
}

Announcement
KeepColdEnd(Announcement aNew, const Announcement& aOld, int64_t aElapsedMs)
{
  aNew.coldLeftMs_ =
    std::min(aNew.coldLeftMs_, ColdLeftAfter(aOld, aElapsedMs));
  return aNew;
}

Announcement
KeepSoftwareVersion(Announcement aNew, const Announcement& aOld)
{
  if (aNew.softwareVersion_.empty() && aNew.incarnation_ == aOld.incarnation_) {
    aNew.softwareVersion_ = aOld.softwareVersion_;
  }
  return aNew;
}

} // namespace cactuswick::model

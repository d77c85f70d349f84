#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cactuswick/model/process/Fields.h"

/// Announcements, by which endpoints register and renew their lease.
namespace cactuswick::model {

/// Whether an endpoint is a model engine or a plain service.
enum class EndpointType
{
  kEngine,
  kService,
};

/// Longest time for which an endpoint is taken for cold after an announcement.
inline constexpr int64_t kMaxColdLeftMs = 3'600'000;

/// State that an endpoint announces with each heartbeat, valid for leaseMs_.
struct Announcement
{
  std::string endpoint_;
  EndpointType endpointType_ = EndpointType::kEngine;
  /// Models or services that the endpoint currently serves.
  std::vector<std::string> serves_;
  /// "address:port" for requests, health checks and orders.
  std::string address_;
  std::string failureDomain_;
  /// Requests that the endpoint runs concurrently.
  int64_t slots_ = 1;
  /// Increases when the endpoint restarts.
  int64_t incarnation_ = 0;
  /// Increases with each announcement of one incarnation.
  int64_t sequence_ = 0;
  int64_t leaseMs_ = 3'000;
  bool leaving_ = false;
  /// Requests in flight when the announcement was sent.
  int64_t inFlight_ = 0;
  /// Whether the endpoint rejects orders with an outdated fencing number.
  bool checksFencing_ = false;
  /// How long the endpoint will be cold, which means that it bears only a few
  /// requests per second; 0 when it is warm.
  int64_t coldLeftMs_ = 0;
  /// Version of the endpoint's software; empty if it announces none. What two
  /// versions write does not fit together in one stream.
  std::string softwareVersion_;

  bool operator==(const Announcement&) const = default;
};

/// Orders the announcements of one endpoint, first by incarnation and then by
/// sequence.
struct AnnouncementVersion
{
  int64_t incarnation_ = 0;
  int64_t sequence_ = 0;

  auto operator<=>(const AnnouncementVersion&) const = default;
};

/// Returns the version of @p aAnnouncement.
AnnouncementVersion
VersionOf(const Announcement& aAnnouncement);

/// Returns a cold time in the range from 0 to kMaxColdLeftMs, in milliseconds.
/// Times out of range are clamped rather than refused, as the announcement also
/// renews the lease.
int64_t
ClampColdLeftMs(double aMs);

/// Tolerance of a cold time between two announcements, for the jitter of their
/// transport. Less than the margin that routers add to cold times.
inline constexpr int64_t kColdJitterMs = 200;

/// Returns true when @p aNew, announced @p aElapsedMs after @p aOld, differs
/// only in its sequence, its load and a cold time that goes by, so that
/// placement has nothing but the load to update. A cold time that ends later
/// than announced is no renewal, whether it grew or started anew.
bool
IsRenewal(const Announcement& aNew,
          const Announcement& aOld,
          int64_t aElapsedMs);

/// Returns the renewal @p aNew with the end of the cold time that @p aOld
/// announced, unless the new one is earlier. So small delays do not add up from
/// one renewal to the next.
Announcement
KeepColdEnd(Announcement aNew, const Announcement& aOld, int64_t aElapsedMs);

/// Returns @p aNew with the software version of @p aOld if it has none and is
/// of the same incarnation: an earlier release has relayed it without.
Announcement
KeepSoftwareVersion(Announcement aNew, const Announcement& aOld);

constexpr std::array<std::string_view, 2>
EnumNames(const EndpointType*)
{
  return { "engine", "service" };
}

constexpr auto
FieldsOf(const Announcement*)
{
  return MakeFields(
    Field{ "endpoint", &Announcement::endpoint_ },
    Field{ "endpoint_type", &Announcement::endpointType_ },
    Field{ "serves", &Announcement::serves_ },
    Field{ "address", &Announcement::address_ },
    Field{ "failure_domain", &Announcement::failureDomain_ },
    Field{ "slots", &Announcement::slots_ },
    Field{ "incarnation", &Announcement::incarnation_ },
    Field{ "sequence", &Announcement::sequence_ },
    Field{ "lease_ms", &Announcement::leaseMs_ },
    Field{ "leaving", &Announcement::leaving_ },
    Field{ "in_flight", &Announcement::inFlight_ },
    Field{ "checks_fencing", &Announcement::checksFencing_ },
    Field{ "cold_left_ms", &Announcement::coldLeftMs_ },
    Field{ "software_version", &Announcement::softwareVersion_ });
}

} // namespace cactuswick::model

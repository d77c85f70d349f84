#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cactuswick/model/process/Fields.h"

/// What an endpoint says of itself.
namespace cactuswick::model {

/// Whether an endpoint serves models or plain calls.
enum class EndpointType
{
  kEngine,
  kService,
};

/// One announcement of an endpoint, valid for its lease.
struct Announcement
{
  std::string endpoint_;
  EndpointType endpointType_ = EndpointType::kEngine;
  /// Models or services that it serves now.
  std::vector<std::string> serves_;
  /// "address:port" for requests, health and orders.
  std::string address_;
  std::string failureDomain_;
  /// Requests that it takes at once.
  int64_t slots_ = 1;
  /// Rises when the endpoint restarts.
  int64_t incarnation_ = 0;
  /// Rises with each announcement of one incarnation.
  int64_t sequence_ = 0;
  int64_t leaseMs_ = 3'000;
  bool leaving_ = false;
  /// Requests that it had in flight when it announced.
  int64_t inFlight_ = 0;
  /// Whether it refuses orders that carry an old fencing number.
  bool checksFencing_ = false;

  bool operator==(const Announcement&) const = default;
};

/// Place of an announcement among all of its endpoint: later lives and, in one
/// life, later announcements come after.
struct AnnouncementVersion
{
  int64_t incarnation_ = 0;
  int64_t sequence_ = 0;

  auto operator<=>(const AnnouncementVersion&) const = default;
};

AnnouncementVersion
VersionOf(const Announcement& aAnnouncement);

/// Whether @p aNew says the same as @p aOld in all that placement looks at,
/// except load.
bool
IsRenewal(const Announcement& aNew, const Announcement& aOld);

constexpr std::array<std::string_view, 2>
EnumNames(const EndpointType*)
{
  return { "engine", "service" };
}

constexpr auto
FieldsOf(const Announcement*)
{
  return MakeFields(Field{ "endpoint", &Announcement::endpoint_ },
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
                    Field{ "checks_fencing", &Announcement::checksFencing_ });
}

} // namespace cactuswick::model

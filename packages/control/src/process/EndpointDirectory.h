#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cactuswick/transport/connection/PeerMessage.h"

namespace cactuswick::control {

/// What an announcement says that was not known before.
enum class Hearing
{
  /// Of an earlier life or out of order: names no endpoint to use.
  kStale,
  /// The endpoint still lives.
  kRenewal,
  /// Routers should hear of it at once.
  kNews,
};

/// Endpoints as they announce themselves to control; pure.
///
/// An address belongs to the endpoint that started last there, since
/// addresses are used again and announcements may be late.
class EndpointDirectory
{
public:
  Hearing Hear(const model::Announcement& aAnnouncement,
               int64_t aAgeMs,
               int64_t aNowMs);

  /// Notes that an incarnation leaves, for good.
  void Retire(const std::string& aEndpoint, int64_t aIncarnation);

  /// Forgets endpoints that were not heard for their lease; none before
  /// @p aNotBeforeMs, when this replica may not have heard all yet.
  std::vector<transport::EndpointLost> Expire(int64_t aNowMs,
                                              int64_t aNotBeforeMs);

  /// Everything known, for a router that has just connected.
  std::vector<transport::EndpointNews> All(int64_t aNowMs) const;
  std::optional<int64_t> KnownIncarnation(const std::string& aEndpoint) const;

private:
  struct Known
  {
    model::Announcement announcement_;
    int64_t heardMs_ = 0;
  };

  struct Lost
  {
    /// The last announcement before the loss.
    model::AnnouncementVersion last_;
    int64_t lostMs_ = 0;
  };

  /// Whether the endpoint left or was lost after this announcement.
  bool IsOver(const model::Announcement& aAnnouncement) const;
  bool AddressIsTaken(const model::Announcement& aAnnouncement) const;
  void DropOthersAt(const model::Announcement& aAnnouncement);

  std::map<std::string, Known> endpoints_;
  std::map<std::string, Lost> lost_;
  /// Newest incarnation that leaves, by endpoint.
  std::map<std::string, int64_t> retired_;
};

} // namespace cactuswick::control

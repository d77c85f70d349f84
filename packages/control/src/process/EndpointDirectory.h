#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cactuswick/transport/connection/PeerMessage.h"

namespace cactuswick::control {

/// How an announcement changed the directory.
enum class AnnouncementResult
{
  /// From an earlier incarnation or out of order; ignored.
  kStale,
  /// Renews the endpoint's lease and changes nothing else.
  kRenewal,
  /// A new or changed endpoint; routers must be told at once.
  kChange,
};

/// The endpoints that announce themselves to control, without any I/O.
///
/// An address belongs to the endpoint that started there last, since addresses
/// are reused and announcements may arrive late.
class EndpointDirectory
{
public:
  /// Applies an announcement that was made @p aAgeMs ago.
  AnnouncementResult ApplyAnnouncement(const model::Announcement& aAnnouncement,
                                       int64_t aAgeMs,
                                       int64_t aNowMs);

  /// Removes an incarnation permanently; its later announcements are stale.
  void Retire(const std::string& aEndpoint, int64_t aIncarnation);

  /// Removes and returns the endpoints whose lease has expired. Removes none
  /// before @p aNotBeforeMs, as this replica may not have received all
  /// announcements until then.
  std::vector<transport::EndpointLost> Expire(int64_t aNowMs,
                                              int64_t aNotBeforeMs);

  /// All known endpoints, for a router that has just connected.
  std::vector<transport::RelayedAnnouncement> All(int64_t aNowMs) const;
  /// Adds the services and software versions of all known endpoints.
  void AddOrigins(std::set<model::StreamOrigin>& aOrigins) const;
  /// Current incarnation of an endpoint; nullopt when it is not known.
  std::optional<int64_t> KnownIncarnation(const std::string& aEndpoint) const;

private:
  struct KnownEndpoint
  {
    model::Announcement announcement_;
    int64_t lastContactMs_ = 0;
  };

  struct LostEndpoint
  {
    /// Position of the last announcement before the loss.
    model::AnnouncementVersion lastOrder_;
    int64_t lostMs_ = 0;
  };

  /// Whether the endpoint was retired or lost after this announcement.
  bool IsObsolete(const model::Announcement& aAnnouncement) const;
  bool IsAddressTaken(const model::Announcement& aAnnouncement) const;
  void DropOthersAtAddress(const model::Announcement& aAnnouncement);

  std::map<std::string, KnownEndpoint> endpoints_;
  std::map<std::string, LostEndpoint> lost_;
  /// Newest retired incarnation, by endpoint.
  std::map<std::string, int64_t> retired_;
};

} // namespace cactuswick::control

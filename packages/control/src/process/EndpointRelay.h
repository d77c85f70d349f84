#pragma once

#include <functional>
#include <optional>
#include <set>
#include <vector>

#include "cactuswick/ledger/version/Records.h"
#include "cactuswick/transport/connection/EncodedMessage.h"
#include "process/EndpointDirectory.h"

namespace cactuswick::control {

struct EndpointRelayOptions
{
  /// Sends a message to every other replica.
  std::function<void(const transport::PeerMessage&)> sendToReplicas_;
  /// Sends a message to every router that is connected to this replica.
  std::function<void(const transport::PeerMessage&)> sendToRouters_;
  /// Called when an endpoint is new or has changed.
  std::function<void()> onChanged_ = [] {};
};

/// Distributes endpoint announcements: to the other replicas, so that a new
/// leader knows the endpoints, and from the leader to the routers.
class EndpointRelay
{
public:
  explicit EndpointRelay(EndpointRelayOptions aOptions);

  /// Handles an announcement that an endpoint sent to this replica.
  void OnAnnouncement(const model::Announcement& aAnnouncement, int64_t aNowMs);
  /// Handles announcements that another replica received.
  void OnGossip(const transport::Gossip& aGossip, int64_t aNowMs);
  void OnRetired(const ledger::RetireEndpoint& aRetired);

  /// Sends pending announcements and, on the leader, expires endpoints.
  void OnTick(bool aIsLeader, int64_t aNowMs);

  /// All known endpoints, encoded for a router that has just connected. The
  /// encoding is cached until a change, but for a second at most.
  transport::EncodedMessage All(int64_t aNowMs);
  /// Services and software versions of all known endpoints.
  std::set<model::StreamOrigin> Origins() const;
  /// Current incarnation of an endpoint; nullopt when it is not known.
  std::optional<int64_t> KnownIncarnation(const std::string& aEndpoint) const
  {
    return directory_.KnownIncarnation(aEndpoint);
  }

private:
  void ApplyAnnouncement(const transport::RelayedAnnouncement& aRelayed,
                         int64_t aNowMs);
  void Flush();

  EndpointRelayOptions options_;
  EndpointDirectory directory_;
  /// Received by this replica and not yet sent to the others.
  std::vector<transport::RelayedAnnouncement> localAnnouncements_;
  /// Changes that routers have not been sent yet.
  transport::Gossip pendingUpdate_;
  std::optional<transport::EncodedMessage> encodedAll_;
  int64_t encodedAtMs_ = 0;
  bool wasLeader_ = false;
  int64_t lastTickMs_ = 0;
  int64_t lastFlushMs_ = 0;
  /// No endpoint expires before this time.
  int64_t expireFromMs_ = 0;
};

} // namespace cactuswick::control

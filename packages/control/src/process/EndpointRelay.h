#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "cactuswick/ledger/version/Records.h"
#include "cactuswick/transport/connection/EncodedMessage.h"
#include "process/EndpointDirectory.h"

namespace cactuswick::control {

struct EndpointRelayOptions
{
  /// Sends to every other replica.
  std::function<void(const transport::PeerMessage&)> toReplicas_;
  /// Sends to every router that is connected here.
  std::function<void(const transport::PeerMessage&)> toRouters_;
};

/// Spreads what endpoints announce: to the other replicas, so that a new
/// leader knows them, and from the leader to the routers.
class EndpointRelay
{
public:
  explicit EndpointRelay(EndpointRelayOptions aOptions);

  /// Takes an announcement that came to this replica.
  void OnAnnouncement(const model::Announcement& aAnnouncement, int64_t aNowMs);
  /// Takes what another replica has heard.
  void OnGossip(const transport::Gossip& aGossip, int64_t aNowMs);
  void OnRetired(const ledger::RetireEndpoint& aRetired);

  /// Passes on what was heard and, at the leader, finds lost endpoints.
  void OnTick(bool aLeads, int64_t aNowMs);

  /// Everything known, for a router that has just connected; made anew after
  /// a change, and otherwise once a second.
  transport::EncodedMessage All(int64_t aNowMs);
  std::optional<int64_t> KnownIncarnation(const std::string& aEndpoint) const
  {
    return directory_.KnownIncarnation(aEndpoint);
  }

private:
  void Take(const transport::RelayedAnnouncement& aNews, int64_t aNowMs);
  void Flush();

  EndpointRelayOptions options_;
  EndpointDirectory directory_;
  std::vector<transport::RelayedAnnouncement> heardHere_;
  transport::Gossip news_;
  std::optional<transport::EncodedMessage> all_;
  int64_t allMadeMs_ = 0;
  bool led_ = false;
  int64_t lastTickMs_ = 0;
  int64_t lastFlushMs_ = 0;
  int64_t expireFromMs_ = 0;
};

} // namespace cactuswick::control

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cactuswick/transport/connection/PeerDialer.h"
#include "cactuswick/transport/connection/PeerListener.h"

namespace cactuswick::router {

struct RouterPeersOptions
{
  /// Local IP address for outgoing connections.
  std::string from_;
  std::string failureDomain_;
  /// Region of this router; only routers of the same region are linked.
  std::string region_;
  std::function<void(const transport::RelayedAnnouncement&)> onEndpoint_;
  /// Stores copies for another router; returns the numbers of those stored.
  std::function<std::vector<int64_t>(const transport::CopySettlements&)>
    onCopies_;
  std::function<void(const transport::CopiesStored&)> onStored_;
  std::function<void(const transport::DropCopies&)> onDrop_;
  /// Lends a part of this router's grant to another router.
  std::function<transport::LendReply(const transport::LendRequest&)> onLend_;
  /// Called when the link to a router that may hold copies is lost.
  std::function<void(ledger::Incarnation)> onBackupLost_;
  /// Returns the endpoints known here, for the gossip to other routers.
  std::function<std::vector<transport::RelayedAnnouncement>()> endpoints_;
  std::function<int64_t()> load_;
};

/// Links to the other routers. They carry gossip about endpoints and load,
/// loans of grants, and copies of settlements.
class RouterPeers
{
public:
  RouterPeers(transport::EventLoop& aLoop, RouterPeersOptions aOptions);
  RouterPeers(const RouterPeers&) = delete;
  RouterPeers& operator=(const RouterPeers&) = delete;
  ~RouterPeers();

  absl::Status Listen(const transport::Address& aAddress);

  /// Connects to new routers and closes the links to those that are gone.
  void SetRouters(ledger::Incarnation aSelf,
                  const std::vector<ledger::RouterRecord>& aRouters);

  /// Sends an endpoint's announcement to all routers at once.
  void BroadcastEndpoint(const transport::RelayedAnnouncement& aAnnouncement);

  /// Sends settlements to a router in another failure domain; returns its
  /// incarnation, or nullopt if none is connected.
  std::optional<ledger::Incarnation> SendCopies(
    const transport::CopySettlements& aCopies);
  /// Returns whether SendCopies would find a router.
  bool HasBackup() const;
  void SendDropCopies(const transport::DropCopies& aDrop);

  /// Returns the last load that a router reported, or nullopt if it is not
  /// connected.
  std::optional<int64_t> LoadOf(ledger::Incarnation aRouter) const;

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace cactuswick::router

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
  /// Own IP number to connect from.
  std::string from_;
  std::string failureDomain_;
  /// Only routers of the own region are linked.
  std::string region_;
  std::function<void(const transport::RelayedAnnouncement&)> onEndpoint_;
  /// Keeps copies for another router; returns the numbers that it kept.
  std::function<std::vector<int64_t>(const transport::CopySettlements&)>
    onCopies_;
  std::function<void(const transport::CopiesStored&)> onStored_;
  std::function<void(const transport::DropCopies&)> onDrop_;
  /// Gives a part of this router's grant to another one.
  std::function<transport::LendReply(const transport::LendRequest&)> onLend_;
  /// The link to a router that may keep copies is gone.
  std::function<void(ledger::Incarnation)> onKeeperLost_;
  /// Endpoints heard here, to tell a router that has just connected.
  std::function<std::vector<transport::RelayedAnnouncement>()> endpoints_;
  std::function<int64_t()> load_;
};

/// Links to the other routers: soft state of endpoints and load, and copies
/// of settlements.
class RouterPeers
{
public:
  RouterPeers(transport::EventLoop& aLoop, RouterPeersOptions aOptions);
  RouterPeers(const RouterPeers&) = delete;
  RouterPeers& operator=(const RouterPeers&) = delete;
  ~RouterPeers();

  absl::Status Listen(const transport::Address& aAddress);

  /// Connects to routers that are new and drops those that are gone.
  void SetRouters(ledger::Incarnation aSelf,
                  const std::vector<ledger::RouterRecord>& aRouters);

  /// Tells all routers about an endpoint at once.
  void Spread(const transport::RelayedAnnouncement& aNews);

  /// Sends settlements to a router in another failure domain; returns its
  /// incarnation, or nullopt when none is connected.
  std::optional<ledger::Incarnation> SendCopies(
    const transport::CopySettlements& aCopies);
  /// Whether SendCopies would find a router.
  bool HasKeeper() const;
  void SendDrop(const transport::DropCopies& aDrop);

  /// Last load that a router told of, or nullopt when it is not connected.
  std::optional<int64_t> LoadOf(ledger::Incarnation aRouter) const;

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace cactuswick::router

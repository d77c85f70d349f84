#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cactuswick/ledger/version/Replica.h"
#include "cactuswick/transport/connection/PeerDialer.h"
#include "cactuswick/transport/connection/PeerListener.h"

namespace cactuswick::control {

struct MemberLinksOptions
{
  /// Local IP address to connect from.
  std::string from_;
  std::function<void(const transport::PeerMessage&)> onMessage_;
  /// Sends on a link that the other replica has opened.
  std::function<void(transport::LinkId, const transport::PeerMessage&)>
    sendOnLink_;
};

/// Connections between a control replica and the others.
class MemberLinks
{
public:
  MemberLinks(transport::EventLoop& aLoop, MemberLinksOptions aOptions);

  /// Connects to a replica unless that was done before.
  void Dial(const std::string& aId, const std::string& aAddress);
  /// Records the link on which a replica's last message arrived.
  void RecordInboundLink(const ledger::RaftMessage& aMessage,
                         transport::LinkId aLink);
  /// Returns the link on which a replica's last message arrived, if any.
  std::optional<transport::LinkId> InboundLinkOf(const std::string& aId) const;
  /// Sends messages of the replicated log. Messages for a replica without an
  /// outbound link go out on its inbound link, or are dropped.
  void SendRaftMessages(const std::vector<ledger::Envelope>& aMessages);
  /// Sends to one replica; the message is dropped while there is no link.
  void Send(const std::string& aId, const transport::PeerMessage& aMessage);
  void SendToAll(const transport::PeerMessage& aMessage);
  /// Closes links to replicas that are not members, join links included.
  void CloseNonMembers(const std::vector<ledger::Member>& aMembers);
  /// Asks the replica at an address to add @p aSelf as a member.
  void SendJoinRequest(const std::string& aAddress,
                       const ledger::Member& aSelf);

private:
  std::unique_ptr<transport::PeerDialer> MakeDialer(
    const transport::Address& aAddress,
    std::function<void()> aOnUp) const;

  transport::EventLoop& loop_;
  MemberLinksOptions options_;
  std::map<std::string, std::unique_ptr<transport::PeerDialer>> dialers_;
  /// For join requests to replicas whose id is not known, by address.
  std::map<std::string, std::unique_ptr<transport::PeerDialer>> joinDialers_;
  /// Link of the last message, by replica id.
  std::map<std::string, transport::LinkId> inboundLinks_;
};

} // namespace cactuswick::control

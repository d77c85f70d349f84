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
  /// Own IP number to connect from.
  std::string from_;
  std::function<void(const transport::PeerMessage&)> onMessage_;
  /// Answers on a link that the other replica has made.
  std::function<void(transport::LinkId, const transport::PeerMessage&)>
    sendOnLink_;
};

/// Links from one control replica to the others.
class MemberLinks
{
public:
  MemberLinks(transport::EventLoop& aLoop, MemberLinksOptions aOptions);

  /// Connects to a replica, once.
  void Dial(const std::string& aId, const std::string& aAddress);
  /// Notes the link on which a replica's last message came.
  void RecordInboundLink(const ledger::RaftMessage& aMessage,
                         transport::LinkId aLink);
  /// The link on which that was, if it is known.
  std::optional<transport::LinkId> InboundLinkOf(const std::string& aId) const;
  /// Sends messages of the log; those for unknown replicas go back on the
  /// links that they came by, or are lost.
  void SendRaftMessages(const std::vector<ledger::Envelope>& aMessages);
  /// Sends to one replica; lost while there is no link.
  void Send(const std::string& aId, const transport::PeerMessage& aMessage);
  void SendToAll(const transport::PeerMessage& aMessage);
  /// Closes links to replicas that are no members any more.
  void CloseNonMembers(const std::vector<ledger::Member>& aMembers);
  /// Asks the replica at an address to be made a member.
  void SendJoinRequest(const std::string& aAddress,
                       const ledger::Member& aSelf);

private:
  transport::EventLoop& loop_;
  MemberLinksOptions options_;
  std::unique_ptr<transport::PeerDialer> MakeDialer(
    const transport::Address& aAddress,
    std::function<void()> aOnUp) const;

  std::map<std::string, std::unique_ptr<transport::PeerDialer>> dialers_;
  /// By address, to replicas whose identity is not known.
  std::map<std::string, std::unique_ptr<transport::PeerDialer>> joinDialers_;
  std::map<std::string, transport::LinkId> inboundLinks_;
};

} // namespace cactuswick::control

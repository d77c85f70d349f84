#include "connection/MemberLinks.h"

#include <algorithm>
#include <utility>

namespace cactuswick::control {

MemberLinks::MemberLinks(transport::EventLoop& aLoop,
                         MemberLinksOptions aOptions)
  : loop_(aLoop)
  , options_(std::move(aOptions))
{
}

std::unique_ptr<transport::PeerDialer>
MemberLinks::MakeDialer(const transport::Address& aAddress,
                        std::function<void()> aOnUp) const
{
  return std::make_unique<transport::PeerDialer>(
    loop_,
    transport::PeerDialerOptions{ .address_ = aAddress,
                                  .from_ = options_.from_,
                                  .onUp_ = std::move(aOnUp),
                                  .onMessage_ = options_.onMessage_ });
}

void
MemberLinks::Dial(const std::string& aId, const std::string& aAddress)
{
  const auto address = transport::ParseAddress("", aAddress);
  if (!dialers_.contains(aId) && address.ok()) {
    dialers_[aId] = MakeDialer(*address, nullptr);
  }
}

void
MemberLinks::NoteSender(const ledger::RaftMessage& aMessage,
                        transport::LinkId aLink)
{
  const auto& from = std::visit(
    [](const auto& aOne) -> const std::string& { return aOne.from_; },
    aMessage);
  senders_[from] = aLink;
}

void
MemberLinks::SendAll(const std::vector<ledger::Envelope>& aMessages)
{
  for (const auto& envelope : aMessages) {
    const transport::RaftEnvelope message{ envelope.to_, envelope.message_ };
    const auto dialer = dialers_.find(envelope.to_);
    const auto sender = senders_.find(envelope.to_);
    if (dialer != dialers_.end()) {
      dialer->second->Send(message);
    } else if (sender != senders_.end()) {
      options_.answer_(sender->second, message);
    }
  }
}

void
MemberLinks::Send(const std::string& aId,
                  const transport::PeerMessage& aMessage)
{
  const auto dialer = dialers_.find(aId);
  if (dialer != dialers_.end()) {
    dialer->second->Send(aMessage);
  }
}

void
MemberLinks::SendToAll(const transport::PeerMessage& aMessage)
{
  for (const auto& [id, dialer] : dialers_) {
    dialer->Send(aMessage);
  }
}

void
MemberLinks::KeepOnly(const std::vector<ledger::Member>& aMembers)
{
  joining_.clear();
  std::erase_if(dialers_, [&](const auto& aPair) {
    return std::none_of(
      aMembers.begin(), aMembers.end(), [&](const ledger::Member& aMember) {
        return aMember.id_ == aPair.first;
      });
  });
}

void
MemberLinks::AskToJoin(const std::string& aAddress, const ledger::Member& aSelf)
{
  const auto address = transport::ParseAddress("", aAddress);
  if (!address.ok()) {
    return;
  }
  auto& dialer = joining_[aAddress];
  if (!dialer) {
    dialer = MakeDialer(*address, [this, aAddress, aSelf] {
      joining_[aAddress]->Send(transport::JoinRequest{ aSelf });
    });
  }
  dialer->Send(transport::JoinRequest{ aSelf });
}

} // namespace cactuswick::control

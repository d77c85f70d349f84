#include "connection/MemberLinks.h"

#include <utility>

namespace cactuswick::control {

MemberLinks::MemberLinks(transport::EventLoop& aLoop,
                         MemberLinksOptions aOptions)
  : loop_(aLoop)
  , options_(std::move(aOptions))
{
}

void
MemberLinks::Dial(const std::string& aId, const std::string& aAddress)
{
  const auto address = transport::ParseAddress("", aAddress);
  if (dialers_.contains(aId) || !address.ok()) {
    return;
  }
  dialers_[aId] = std::make_unique<transport::PeerDialer>(
    loop_,
    transport::PeerDialerOptions{ .address_ = *address,
                                  .from_ = options_.from_,
                                  .onMessage_ = options_.onMessage_ });
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
MemberLinks::AskToJoin(const std::string& aAddress, const ledger::Member& aSelf)
{
  // Its identity is not known yet, so the address stands for it.
  Dial(aAddress, aAddress);
  if (const auto dialer = dialers_.find(aAddress); dialer != dialers_.end()) {
    dialer->second->Send(transport::JoinRequest{ aSelf });
  }
}

} // namespace cactuswick::control

#include "connection/MemberLinks.h"

#include <algorithm>
#include <utility>

#include "cactuswick/model/process/Text.h"
#include "cactuswick/telemetry/process/Log.h"

namespace cactuswick::control {

namespace {

void
LogLink(std::string_view aAction, const transport::Address& aAddress)
{
  telemetry::Log(
    telemetry::Part::kControl,
    telemetry::Level::kInfo,
    model::Concat(aAction, " link to replica address=", aAddress.ToString()));
}

} // namespace

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
    transport::PeerDialerOptions{
      .address_ = aAddress,
      .from_ = options_.from_,
      .onUp_ =
        [aAddress, onUp = std::move(aOnUp)] {
          LogLink("opened", aAddress);
          if (onUp) {
            onUp();
          }
        },
      .onMessage_ = options_.onMessage_,
      .onDown_ = [aAddress] { LogLink("lost", aAddress); } });
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
MemberLinks::RecordInboundLink(const ledger::RaftMessage& aMessage,
                               transport::LinkId aLink)
{
  const auto& from = std::visit(
    [](const auto& aOne) -> const std::string& { return aOne.from_; },
    aMessage);
  inboundLinks_[from] = aLink;
}

std::optional<transport::LinkId>
MemberLinks::InboundLinkOf(const std::string& aId) const
{
  const auto found = inboundLinks_.find(aId);
  return found == inboundLinks_.end() ? std::nullopt
                                      : std::optional(found->second);
}

void
MemberLinks::SendRaftMessages(const std::vector<ledger::Envelope>& aMessages)
{
  for (const auto& envelope : aMessages) {
    const transport::RaftEnvelope message{ envelope.to_, envelope.message_ };
    const auto dialer = dialers_.find(envelope.to_);
    const auto sender = inboundLinks_.find(envelope.to_);
    if (dialer != dialers_.end()) {
      dialer->second->Send(message);
    } else if (sender != inboundLinks_.end()) {
      options_.sendOnLink_(sender->second, message);
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
  const transport::EncodedMessage message(aMessage);
  for (const auto& [id, dialer] : dialers_) {
    dialer->Send(message);
  }
}

void
MemberLinks::CloseNonMembers(const std::vector<ledger::Member>& aMembers)
{
  joinDialers_.clear();
  std::erase_if(dialers_, [&](const auto& aPair) {
    return std::none_of(
      aMembers.begin(), aMembers.end(), [&](const ledger::Member& aMember) {
        return aMember.id_ == aPair.first;
      });
  });
}

void
MemberLinks::SendJoinRequest(const std::string& aAddress,
                             const ledger::Member& aSelf)
{
  const auto address = transport::ParseAddress("", aAddress);
  if (!address.ok()) {
    return;
  }
  auto& dialer = joinDialers_[aAddress];
  if (!dialer) {
    dialer = MakeDialer(*address, [this, aAddress, aSelf] {
      joinDialers_[aAddress]->Send(transport::JoinRequest{ aSelf });
    });
  }
  dialer->Send(transport::JoinRequest{ aSelf });
}

} // namespace cactuswick::control

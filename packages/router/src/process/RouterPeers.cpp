#include "process/RouterPeers.h"

#include <utility>

namespace cactuswick::router {

namespace {

using ledger::Incarnation;
using transport::LinkId;

constexpr int64_t kGossipMs = 500;

} // namespace

struct RouterPeers::State
{
  struct Peer
  {
    std::string address_;
    std::string failureDomain_;
    std::unique_ptr<transport::PeerDialer> dialer_;
    int64_t load_ = 0;
  };

  State(transport::EventLoop& aLoop, RouterPeersOptions aOptions)
    : loop_(aLoop)
    , options_(std::move(aOptions))
    , listener_(aLoop,
                { .onMessage_ =
                    [this](LinkId aLink, const transport::PeerMessage& aMsg) {
                      OnMessage(aLink, aMsg);
                    } })
    , gossipTimer_(aLoop, [this] { SendGossip(); })
  {
    gossipTimer_.StartRepeating(kGossipMs);
  }

  void OnMessage(LinkId aLink, const transport::PeerMessage& aMessage)
  {
    if (const auto* copies =
          std::get_if<transport::CopySettlements>(&aMessage)) {
      listener_.Send(
        aLink, transport::CopiesStored{ self_, options_.onCopies_(*copies) });
    } else if (const auto* drop =
                 std::get_if<transport::DropCopies>(&aMessage)) {
      options_.onDrop_(*drop);
    } else if (const auto* lend =
                 std::get_if<transport::LendRequest>(&aMessage)) {
      listener_.Send(aLink, options_.onLend_(*lend));
    } else if (const auto* gossip = std::get_if<transport::Gossip>(&aMessage)) {
      const auto peer = peers_.find(gossip->from_);
      if (peer != peers_.end()) {
        peer->second.load_ = gossip->load_;
      }
      for (const auto& relayed : gossip->endpoints_) {
        options_.onEndpoint_(relayed);
      }
    }
  }

  void SendGossip()
  {
    if (self_ == 0) {
      return;
    }
    const transport::Gossip gossip{ self_,
                                    options_.load_(),
                                    options_.endpoints_() };
    for (const auto& [incarnation, peer] : peers_) {
      peer.dialer_->Send(gossip);
    }
  }

  void Add(const ledger::RouterRecord& aRouter)
  {
    const auto address = transport::ParseAddress("", aRouter.peerAddress_);
    if (!address.ok() || peers_.contains(aRouter.incarnation_)) {
      return;
    }
    const Incarnation incarnation = aRouter.incarnation_;
    peers_[incarnation] = Peer{
      .address_ = aRouter.peerAddress_,
      .failureDomain_ = aRouter.failureDomain_,
      .dialer_ = std::make_unique<transport::PeerDialer>(
        loop_,
        transport::PeerDialerOptions{
          .address_ = *address,
          .from_ = options_.from_,
          .onUp_ = [this] { SendGossip(); },
          .onMessage_ =
            [this](const transport::PeerMessage& aMessage) {
              if (const auto* stored =
                    std::get_if<transport::CopiesStored>(&aMessage)) {
                options_.onStored_(*stored);
              }
            },
          .onDown_ = [this,
                      incarnation] { options_.onBackupLost_(incarnation); } })
    };
  }

  bool CanHoldCopies(const Peer& aPeer) const
  {
    return aPeer.dialer_->IsUp() &&
           aPeer.failureDomain_ != options_.failureDomain_;
  }

  transport::EventLoop& loop_;
  RouterPeersOptions options_;
  Incarnation self_ = 0;
  transport::PeerListener listener_;
  std::map<Incarnation, Peer> peers_;
  transport::Timer gossipTimer_;
};

RouterPeers::RouterPeers(transport::EventLoop& aLoop,
                         RouterPeersOptions aOptions)
  : state_(std::make_unique<State>(aLoop, std::move(aOptions)))
{
}

RouterPeers::~RouterPeers() = default;

absl::Status
RouterPeers::Listen(const transport::Address& aAddress)
{
  return state_->listener_.Listen(aAddress);
}

void
RouterPeers::SetRouters(Incarnation aSelf,
                        const std::vector<ledger::RouterRecord>& aRouters)
{
  state_->self_ = aSelf;
  std::map<Incarnation, const ledger::RouterRecord*> live;
  for (const auto& router : aRouters) {
    if (router.state_ != ledger::RouterState::kEnded &&
        router.incarnation_ != aSelf &&
        router.region_ == state_->options_.region_) {
      live[router.incarnation_] = &router;
    }
  }
  std::vector<Incarnation> gone;
  for (const auto& [incarnation, peer] : state_->peers_) {
    if (!live.contains(incarnation)) {
      gone.push_back(incarnation);
    }
  }
  for (const Incarnation incarnation : gone) {
    state_->peers_.erase(incarnation);
    state_->options_.onBackupLost_(incarnation);
  }
  for (const auto& [incarnation, router] : live) {
    state_->Add(*router);
  }
}

void
RouterPeers::BroadcastEndpoint(
  const transport::RelayedAnnouncement& aAnnouncement)
{
  const transport::Gossip gossip{ state_->self_,
                                  state_->options_.load_(),
                                  { aAnnouncement } };
  for (const auto& [incarnation, peer] : state_->peers_) {
    peer.dialer_->Send(gossip);
  }
}

std::optional<Incarnation>
RouterPeers::SendCopies(const transport::CopySettlements& aCopies)
{
  for (const auto& [incarnation, peer] : state_->peers_) {
    if (state_->CanHoldCopies(peer)) {
      peer.dialer_->Send(aCopies);
      return incarnation;
    }
  }
  return std::nullopt;
}

bool
RouterPeers::HasBackup() const
{
  for (const auto& [incarnation, peer] : state_->peers_) {
    if (state_->CanHoldCopies(peer)) {
      return true;
    }
  }
  return false;
}

void
RouterPeers::SendDropCopies(const transport::DropCopies& aDrop)
{
  for (const auto& [incarnation, peer] : state_->peers_) {
    peer.dialer_->Send(aDrop);
  }
}

std::optional<int64_t>
RouterPeers::LoadOf(Incarnation aRouter) const
{
  const auto found = state_->peers_.find(aRouter);
  if (found == state_->peers_.end() || !found->second.dialer_->IsUp()) {
    return std::nullopt;
  }
  return found->second.load_;
}

} // namespace cactuswick::router

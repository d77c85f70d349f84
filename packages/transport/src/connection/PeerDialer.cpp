#include "cactuswick/transport/connection/PeerDialer.h"

#include <algorithm>
#include <utility>

namespace cactuswick::transport {

struct PeerDialer::State
{
  State(EventLoop& aLoop, PeerDialerOptions aOptions)
    : loop_(aLoop)
    , options_(std::move(aOptions))
    , retry_(aLoop, [this] { Connect(); })
    , backoffMs_(options_.minBackoffMs_)
  {
    Connect();
  }

  void Connect()
  {
    link_ = std::make_unique<PeerLink>(
      loop_,
      options_.address_,
      options_.from_,
      options_.limits_,
      PeerLinkHooks{ .onOpen_ = [this] { OnOpen(); },
                     .onMessage_ = options_.onMessage_,
                     .onClosed_ = [this] { OnClosed(); } });
  }

  void OnOpen()
  {
    backoffMs_ = options_.minBackoffMs_;
    wasUp_ = true;
    if (options_.onUp_) {
      options_.onUp_();
    }
  }

  void OnClosed()
  {
    link_.reset();
    retry_.StartOnce(backoffMs_);
    backoffMs_ = std::min(backoffMs_ * 2, options_.maxBackoffMs_);
    if (std::exchange(wasUp_, false) && options_.onDown_) {
      options_.onDown_();
    }
  }

  EventLoop& loop_;
  PeerDialerOptions options_;
  Timer retry_;
  int64_t backoffMs_;
  bool wasUp_ = false;
  std::unique_ptr<PeerLink> link_;
};

PeerDialer::PeerDialer(EventLoop& aLoop, PeerDialerOptions aOptions)
  : state_(std::make_unique<State>(aLoop, std::move(aOptions)))
{
}

PeerDialer::~PeerDialer() = default;

void
PeerDialer::Send(const PeerMessage& aMessage)
{
  if (state_->link_) {
    state_->link_->Send(aMessage);
  }
}

void
PeerDialer::Send(const EncodedMessage& aMessage)
{
  if (state_->link_) {
    state_->link_->Send(aMessage);
  }
}

bool
PeerDialer::IsUp() const
{
  return state_->link_ && state_->link_->IsOpen();
}

LinkActivity
PeerDialer::Activity() const
{
  return state_->link_ ? state_->link_->Activity() : LinkActivity{};
}

const Address&
PeerDialer::Target() const
{
  return state_->options_.address_;
}

} // namespace cactuswick::transport

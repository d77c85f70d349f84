#include "cactuswick/transport/connection/PeerListener.h"

#include <map>
#include <utility>

#include <event2/listener.h>

#include "cactuswick/model/process/Error.h"
#include "connection/SocketAddress.h"

namespace cactuswick::transport {

namespace {

constexpr int kBacklog = 256;

struct ListenerDeleter
{
  void operator()(evconnlistener* aListener) const
  {
    evconnlistener_free(aListener);
  }
};

} // namespace

struct PeerListener::State
{
  EventLoop& loop_;
  PeerListenerOptions options_;
  std::unique_ptr<evconnlistener, ListenerDeleter> listener_;
  LinkId lastLink_ = 0;
  std::map<LinkId, std::unique_ptr<PeerLink>> links_;

  void Accept(int aSocket)
  {
    const LinkId id = ++lastLink_;
    links_[id] = std::make_unique<PeerLink>(
      loop_,
      aSocket,
      options_.limits_,
      PeerLinkHooks{ .onMessage_ =
                       [this, id](PeerMessage aMessage) {
                         options_.onMessage_(id, std::move(aMessage));
                       },
                     .onClosed_ = [this, id] { OnClosed(id); } });
  }

  void OnClosed(LinkId aLink)
  {
    links_.erase(aLink);
    if (options_.onDown_) {
      options_.onDown_(aLink);
    }
  }
};

PeerListener::PeerListener(EventLoop& aLoop, PeerListenerOptions aOptions)
  : state_(std::make_unique<State>(
      State{ aLoop, std::move(aOptions), nullptr, 0, {} }))
{
}

PeerListener::~PeerListener() = default;

absl::Status
PeerListener::Listen(const Address& aAddress)
{
  sockaddr_in address = ToSocketAddress(aAddress);
  const auto accept =
    [](evconnlistener*, evutil_socket_t aSocket, sockaddr*, int, void* aSelf) {
      static_cast<State*>(aSelf)->Accept(aSocket);
    };
  state_->listener_.reset(
    evconnlistener_new_bind(state_->loop_.Base(),
                            accept,
                            state_.get(),
                            LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                            kBacklog,
                            reinterpret_cast<sockaddr*>(&address),
                            sizeof(address)));
  if (!state_->listener_) {
    return model::MakeError(
      model::ErrorKind::kIo, aAddress.ToString(), "cannot bind the address");
  }
  return absl::OkStatus();
}

void
PeerListener::Send(LinkId aLink, const PeerMessage& aMessage)
{
  const auto found = state_->links_.find(aLink);
  if (found != state_->links_.end()) {
    found->second->Send(aMessage);
  }
}

void
PeerListener::Send(LinkId aLink, const EncodedMessage& aMessage)
{
  const auto found = state_->links_.find(aLink);
  if (found != state_->links_.end()) {
    found->second->Send(aMessage);
  }
}

size_t
PeerListener::PendingBytes(LinkId aLink) const
{
  const auto found = state_->links_.find(aLink);
  return found == state_->links_.end() ? 0 : found->second->PendingBytes();
}

LinkActivity
PeerListener::Activity(LinkId aLink) const
{
  const auto found = state_->links_.find(aLink);
  return found == state_->links_.end() ? LinkActivity{}
                                       : found->second->Activity();
}

} // namespace cactuswick::transport

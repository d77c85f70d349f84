#include "cactuswick/transport/connection/TunnelServer.h"

#include <map>
#include <utility>

#include <event2/listener.h>
#include <sys/socket.h>

#include "cactuswick/model/process/Error.h"
#include "connection/SocketAddress.h"
#include "connection/Tunnel.h"

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

struct TunnelServer::State
{
  State(EventLoop& aLoop, TunnelServerOptions aOptions)
    : loop_(aLoop)
    , options_(std::move(aOptions))
  {
    options_.check_ =
      [this, check = std::move(options_.check_)](const Address& aEndpoint) {
        return tunnels_.size() > options_.maxTunnels_
                 ? TunnelOutcome::kUnavailable
                 : check(aEndpoint);
      };
  }

  void Accept(int aSocket)
  {
    const int64_t id = ++lastId_;
    tunnels_[id] = std::make_unique<Tunnel>(
      loop_, aSocket, options_, [this, id] { tunnels_.erase(id); });
  }

  EventLoop& loop_;
  TunnelServerOptions options_;
  int64_t lastId_ = 0;
  std::map<int64_t, std::unique_ptr<Tunnel>> tunnels_;
  std::unique_ptr<evconnlistener, ListenerDeleter> listener_;
};

TunnelServer::TunnelServer(EventLoop& aLoop, TunnelServerOptions aOptions)
  : state_(std::make_unique<State>(aLoop, std::move(aOptions)))
{
}

TunnelServer::~TunnelServer() = default;

absl::Status
TunnelServer::Listen(const Address& aAddress)
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
TunnelServer::CloseAll()
{
  state_->tunnels_.clear();
}

size_t
TunnelServer::Size() const
{
  return state_->tunnels_.size();
}

} // namespace cactuswick::transport

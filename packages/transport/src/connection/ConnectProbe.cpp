#include "cactuswick/transport/connection/ConnectProbe.h"

#include <utility>

#include <event2/bufferevent.h>

#include "connection/SocketAddress.h"
#include "connection/Tunnel.h"

namespace cactuswick::transport {

struct ConnectProbe::State
{
  State(EventLoop& aLoop, std::function<void(bool)> aOnDone)
    : loop_(aLoop)
    , onDone_(std::move(aOnDone))
    , stream_(bufferevent_socket_new(aLoop.Base(), -1, BEV_OPT_CLOSE_ON_FREE))
    , timer_(aLoop, [this] { Finish(false); })
  {
  }

  void Finish(bool aConnected)
  {
    timer_.Stop();
    bufferevent_setcb(stream_.get(), nullptr, nullptr, nullptr, nullptr);
    loop_.Defer([this, aConnected, alive = std::weak_ptr<bool>(alive_)] {
      if (!alive.expired()) {
        // The hook may destroy the probe.
        const auto hook = std::exchange(onDone_, nullptr);
        hook(aConnected);
      }
    });
  }

  static void OnEvent(bufferevent*, short aWhat, void* aSelf)
  {
    static_cast<State*>(aSelf)->Finish((aWhat & BEV_EVENT_CONNECTED) != 0);
  }

  EventLoop& loop_;
  std::function<void(bool)> onDone_;
  BuffereventPointer stream_;
  Timer timer_;
  /// Expires with the probe, before deferred calls.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

ConnectProbe::ConnectProbe(EventLoop& aLoop,
                           const Address& aAddress,
                           int64_t aTimeoutMs,
                           std::function<void(bool aConnected)> aOnDone)
  : state_(std::make_unique<State>(aLoop, std::move(aOnDone)))
{
  bufferevent* stream = state_->stream_.get();
  bufferevent_setcb(stream, nullptr, nullptr, &State::OnEvent, state_.get());
  state_->timer_.StartOnce(aTimeoutMs);
  const sockaddr_in address = ToSocketAddress(aAddress);
  const int result = bufferevent_socket_connect(
    stream, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  if (result != 0) {
    state_->Finish(false);
  }
}

ConnectProbe::~ConnectProbe() = default;

} // namespace cactuswick::transport

#include "connection/Tunnel.h"

#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>

#include "connection/SocketAddress.h"
#include "connection/SocketOptions.h"
#include "connection/TunnelReply.h"

namespace cactuswick::transport {

namespace {

/// Bytes held for one direction above which no more are read.
constexpr size_t kMaxHeldBytes = size_t{ 32 } << 10;
/// Bytes held for one direction at which reading goes on.
constexpr size_t kResumeBytes = kMaxHeldBytes / 2;
constexpr size_t kMaxReadBytes = size_t{ 16 } << 10;
/// Longest time in which the client takes none of the last bytes, or does not
/// close its side.
constexpr int64_t kClosingTimeoutMs = 5'000;

size_t
HeldBytes(bufferevent* aStream)
{
  return evbuffer_get_length(bufferevent_get_output(aStream));
}

} // namespace

void
BuffereventDeleter::operator()(bufferevent* aStream) const
{
  bufferevent_free(aStream);
}

Tunnel::Tunnel(EventLoop& aLoop,
               int aSocket,
               const TunnelServerOptions& aOptions,
               std::function<void()> aOnClosed)
  : loop_(aLoop)
  , options_(aOptions)
  , onClosed_(std::move(aOnClosed))
  , client_(
      bufferevent_socket_new(aLoop.Base(), aSocket, BEV_OPT_CLOSE_ON_FREE))
  , timer_(aLoop, [this] { OnTimeout(); })
{
  TuneSocket(aSocket);
  bufferevent_setcb(
    client_.get(), &OnClientRead, &OnClientWritten, &OnClientEvent, this);
  bufferevent_set_max_single_read(client_.get(), kMaxReadBytes);
  bufferevent_setwatermark(client_.get(), EV_READ, 0, kMaxHeldBytes);
  bufferevent_enable(client_.get(), EV_READ | EV_WRITE);
  timer_.StartOnce(options_.connectTimeoutMs_);
}

Tunnel::~Tunnel() = default;

void
Tunnel::OnClientRead(bufferevent*, void* aSelf)
{
  auto* self = static_cast<Tunnel*>(aSelf);
  if (self->phase_ == Phase::kRequest) {
    self->ReadRequest();
  } else if (self->phase_ == Phase::kOpen) {
    PassOn(self->client_.get(), self->endpoint_.get());
  } else if (self->phase_ == Phase::kClosing) {
    self->DiscardInput();
  }
}

void
Tunnel::OnClientWritten(bufferevent*, void* aSelf)
{
  auto* self = static_cast<Tunnel*>(aSelf);
  if (self->phase_ == Phase::kOpen) {
    bufferevent_enable(self->endpoint_.get(), EV_READ);
  } else if (self->phase_ == Phase::kClosing) {
    self->EndSending();
  }
}

void
Tunnel::OnClientEvent(bufferevent*, short aWhat, void* aSelf)
{
  // Clients close their connections only when they have given up or are done.
  if ((aWhat & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
    static_cast<Tunnel*>(aSelf)->Close();
  }
}

void
Tunnel::OnEndpointRead(bufferevent*, void* aSelf)
{
  auto* self = static_cast<Tunnel*>(aSelf);
  if (self->phase_ == Phase::kOpen) {
    PassOn(self->endpoint_.get(), self->client_.get());
  }
}

void
Tunnel::OnEndpointWritten(bufferevent*, void* aSelf)
{
  auto* self = static_cast<Tunnel*>(aSelf);
  if (self->phase_ == Phase::kOpen) {
    bufferevent_enable(self->client_.get(), EV_READ);
  }
}

void
Tunnel::OnEndpointEvent(bufferevent*, short aWhat, void* aSelf)
{
  auto* self = static_cast<Tunnel*>(aSelf);
  if (self->phase_ == Phase::kConnecting) {
    if ((aWhat & BEV_EVENT_CONNECTED) != 0) {
      self->OnConnected();
    } else {
      self->OnConnectFailed();
    }
  } else if (self->phase_ == Phase::kOpen) {
    if ((aWhat & BEV_EVENT_EOF) != 0) {
      self->CloseAfterSending();
    } else if ((aWhat & BEV_EVENT_ERROR) != 0) {
      self->Reset();
    }
  }
}

void
Tunnel::ReadRequest()
{
  evbuffer* input = bufferevent_get_input(client_.get());
  const evbuffer_ptr end = evbuffer_search(
    input, kTunnelHeadEnd.data(), kTunnelHeadEnd.size(), nullptr);
  if (end.pos < 0) {
    if (evbuffer_get_length(input) > kMaxTunnelHeadBytes) {
      Refuse(TunnelOutcome::kUnavailable);
    }
    return;
  }
  std::string head(static_cast<size_t>(end.pos) + kTunnelHeadEnd.size(), '\0');
  evbuffer_remove(input, head.data(), head.size());
  const auto endpoint = ParseTunnelRequest(head);
  const TunnelOutcome outcome =
    endpoint ? options_.check_(*endpoint) : TunnelOutcome::kUnavailable;
  if (outcome == TunnelOutcome::kOpened) {
    Connect(*endpoint);
  } else {
    Refuse(outcome);
  }
}

void
Tunnel::Connect(const Address& aEndpoint)
{
  phase_ = Phase::kConnecting;
  endpointAddress_ = aEndpoint;
  endpoint_.reset(
    bufferevent_socket_new(loop_.Base(), -1, BEV_OPT_CLOSE_ON_FREE));
  bufferevent_setcb(endpoint_.get(),
                    &OnEndpointRead,
                    &OnEndpointWritten,
                    &OnEndpointEvent,
                    this);
  bufferevent_set_max_single_read(endpoint_.get(), kMaxReadBytes);
  bufferevent_setwatermark(endpoint_.get(), EV_READ, 0, kMaxHeldBytes);
  bufferevent_setwatermark(endpoint_.get(), EV_WRITE, kResumeBytes, 0);
  timer_.StartOnce(options_.connectTimeoutMs_);
  const sockaddr_in address = ToSocketAddress(aEndpoint);
  const int result =
    bufferevent_socket_connect(endpoint_.get(),
                               reinterpret_cast<const sockaddr*>(&address),
                               sizeof(address));
  if (result != 0 && phase_ == Phase::kConnecting) {
    OnConnectFailed();
  }
}

void
Tunnel::OnConnected()
{
  phase_ = Phase::kOpen;
  timer_.Stop();
  TuneSocket(bufferevent_getfd(endpoint_.get()));
  options_.onConnect_(endpointAddress_, true);
  bufferevent_enable(endpoint_.get(), EV_READ | EV_WRITE);
  const std::string reply = TunnelReplyHead(TunnelOutcome::kOpened);
  bufferevent_write(client_.get(), reply.data(), reply.size());
  bufferevent_setwatermark(client_.get(), EV_WRITE, kResumeBytes, 0);
  PassOn(client_.get(), endpoint_.get());
}

void
Tunnel::OnConnectFailed()
{
  options_.onConnect_(endpointAddress_, false);
  Refuse(TunnelOutcome::kUnreachable);
}

void
Tunnel::OnTimeout()
{
  if (phase_ == Phase::kConnecting) {
    OnConnectFailed();
    return;
  }
  const size_t unsentBytes = HeldBytes(client_.get());
  if (phase_ == Phase::kClosing && unsentBytes < unsentBytes_) {
    // A slow client takes the last bytes.
    unsentBytes_ = unsentBytes;
    timer_.StartOnce(kClosingTimeoutMs);
    return;
  }
  Close();
}

void
Tunnel::PassOn(bufferevent* aFrom, bufferevent* aTo)
{
  bufferevent_write_buffer(aTo, bufferevent_get_input(aFrom));
  if (HeldBytes(aTo) > kMaxHeldBytes) {
    bufferevent_disable(aFrom, EV_READ);
  }
}

void
Tunnel::Refuse(TunnelOutcome aOutcome)
{
  const std::string reply = TunnelReplyHead(aOutcome);
  bufferevent_write(client_.get(), reply.data(), reply.size());
  CloseAfterSending();
}

void
Tunnel::CloseAfterSending()
{
  phase_ = Phase::kClosing;
  bufferevent_setwatermark(client_.get(), EV_WRITE, 0, 0);
  // A full input would keep the client's close from being noticed.
  DiscardInput();
  bufferevent_enable(client_.get(), EV_READ);
  timer_.StartOnce(kClosingTimeoutMs);
  unsentBytes_ = HeldBytes(client_.get());
  EndSending();
}

void
Tunnel::DiscardInput()
{
  evbuffer* input = bufferevent_get_input(client_.get());
  evbuffer_drain(input, evbuffer_get_length(input));
}

void
Tunnel::EndSending()
{
  // The connection stays open until the client closes it: unread bytes would
  // make the kernel reset it, and the client could lose what was sent last.
  if (HeldBytes(client_.get()) == 0) {
    static_cast<void>(shutdown(bufferevent_getfd(client_.get()), SHUT_WR));
  }
}

void
Tunnel::Reset()
{
  const linger reset{ .l_onoff = 1, .l_linger = 0 };
  static_cast<void>(setsockopt(bufferevent_getfd(client_.get()),
                               SOL_SOCKET,
                               SO_LINGER,
                               &reset,
                               sizeof(reset)));
  Close();
}

void
Tunnel::Close()
{
  if (std::exchange(phase_, Phase::kClosed) == Phase::kClosed) {
    return;
  }
  timer_.Stop();
  bufferevent_disable(client_.get(), EV_READ | EV_WRITE);
  if (endpoint_) {
    bufferevent_disable(endpoint_.get(), EV_READ | EV_WRITE);
  }
  loop_.Defer([this, alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired()) {
      // The hook destroys the tunnel.
      const auto hook = std::move(onClosed_);
      hook();
    }
  });
}

} // namespace cactuswick::transport

#include "cactuswick/transport/connection/PeerLink.h"

#include <algorithm>
#include <utility>

#include <netinet/in.h>
#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include "cactuswick/model/process/Codec.h"
#include "connection/SocketAddress.h"
#include "connection/SocketOptions.h"
#include "connection/WebSocketSession.h"

namespace cactuswick::transport {

namespace {

/// KeepAlives without an echo after which the peer counts as an earlier release
/// that never sends one.
constexpr int kKeepAlivesWithoutEcho = 3;

struct StreamDeleter
{
  void operator()(bufferevent* aStream) const { bufferevent_free(aStream); }
};

/// Returns a socket for an outgoing link, bound to the local IP address
/// @p aFrom; -1, with which libevent creates one, if it is empty.
int
MakeBoundSocket(const std::string& aFrom)
{
  if (aFrom.empty()) {
    return -1;
  }
  const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  evutil_make_socket_nonblocking(handle);
  const sockaddr_in from = ToSocketAddress({ aFrom, 0 });
  // If the address is not one of this VM's, connecting fails.
  static_cast<void>(
    bind(handle, reinterpret_cast<const sockaddr*>(&from), sizeof(from)));
  return handle;
}

} // namespace

struct PeerLink::State
{
  State(EventLoop& aLoop,
        int aSocket,
        bool aIsClient,
        PeerLinkLimits aLimits,
        PeerLinkHooks aHooks)
    : loop_(aLoop)
    , isClient_(aIsClient)
    , limits_(aLimits)
    , hooks_(std::move(aHooks))
    , stream_(
        bufferevent_socket_new(aLoop.Base(), aSocket, BEV_OPT_CLOSE_ON_FREE))
    , session_({ .isClient_ = aIsClient,
                 .write_ = [this](const char* aData,
                                  size_t aSize) { Write(aData, aSize); },
                 .onOpen_ = [this] { OnOpen(); },
                 .onMessage_ =
                   [this](const std::string& aBytes) { OnMessage(aBytes); },
                 .onClosed_ = [this] { Close(); } })
    , timer_(aLoop, [this] { OnTimer(); })
    , lastReceiveMs_(EventLoop::NowMs())
    , lastPayloadMs_(lastReceiveMs_)
    , lastContactMs_(lastReceiveMs_)
  {
    bufferevent_setcb(stream_.get(), &OnRead, nullptr, &OnEvent, this);
    bufferevent_enable(stream_.get(), EV_READ | EV_WRITE);
    evbuffer_add_cb(bufferevent_get_output(stream_.get()), &OnOutput, this);
    timer_.StartRepeating(limits_.keepAliveMs_);
  }

  void Write(const char* aData, size_t aSize)
  {
    evbuffer* output = bufferevent_get_output(stream_.get());
    bufferevent_write(stream_.get(), aData, aSize);
    if (evbuffer_get_length(output) > limits_.maxPendingBytes_) {
      Close();
    }
  }

  void OnOpen()
  {
    open_ = true;
    partialBytes_ = 0;
    if (isClient_) {
      SendKeepAlive();
    }
    if (hooks_.onOpen_) {
      hooks_.onOpen_();
    }
  }

  void SendKeepAlive()
  {
    ++unansweredKeepAlives_;
    Send(EncodedMessage(KeepAlive{ .sentMs_ = EventLoop::NowMs() }));
  }

  void OnKeepAlive(const KeepAlive& aMessage)
  {
    if (aMessage.sentMs_) {
      Send(EncodedMessage(KeepAlive{ .echoMs_ = aMessage.sentMs_ }));
    }
    if (aMessage.echoMs_) {
      hasEcho_ = true;
      lastContactMs_ = std::max(lastContactMs_, *aMessage.echoMs_);
    }
  }

  int64_t LastContactMs() const
  {
    // An echo may wait behind a message that is still arriving.
    const bool mayEchoYet =
      unansweredKeepAlives_ <= kKeepAlivesWithoutEcho || partialBytes_ > 0;
    const bool isEarlierRelease = !hasEcho_ && (!isClient_ || !mayEchoYet);
    return isEarlierRelease ? lastReceiveMs_ : lastContactMs_;
  }

  void OnMessage(const std::string& aBytes)
  {
    partialBytes_ = 0;
    auto message = model::DecodeCbor<PeerMessage>(aBytes);
    if (!message.ok()) {
      Close();
      return;
    }
    if (const auto* keepAlive = std::get_if<KeepAlive>(&*message)) {
      lastPayloadMs_ = payloadBeforeReadMs_;
      OnKeepAlive(*keepAlive);
      return;
    }
    payloadBeforeReadMs_ = lastPayloadMs_;
    if (!closed_) {
      hooks_.onMessage_(*std::move(message));
    }
  }

  void OnTimer()
  {
    if (EventLoop::NowMs() - lastReceiveMs_ > limits_.silenceTimeoutMs_) {
      Close();
      return;
    }
    if (open_ && isClient_) {
      SendKeepAlive();
    } else if (open_ && !sentSinceTimer_) {
      Send(EncodedMessage(KeepAlive{}));
    }
    sentSinceTimer_ = false;
  }

  void Send(const EncodedMessage& aMessage)
  {
    if (open_ && !closed_) {
      sentSinceTimer_ = true;
      session_.Send(aMessage.Bytes());
    }
  }

  /// Calls onClosed_ from the loop, never from within a call by the owner.
  void Close()
  {
    if (closed_) {
      return;
    }
    closed_ = true;
    open_ = false;
    timer_.Stop();
    bufferevent_disable(stream_.get(), EV_READ | EV_WRITE);
    const std::weak_ptr<bool> alive = alive_;
    loop_.Defer([this, alive] {
      if (!alive.expired() && hooks_.onClosed_) {
        // Moved out, since the hook destroys this link.
        const auto hook = std::move(hooks_.onClosed_);
        hook();
      }
    });
  }

  static void OnOutput(evbuffer*, const evbuffer_cb_info* aInfo, void* aSelf)
  {
    static_cast<State*>(aSelf)->loop_.TrafficCounters().AddWritten(
      Remote::kPeer, aInfo->n_deleted);
  }

  static void OnRead(bufferevent* aStream, void* aSelf)
  {
    auto* self = static_cast<State*>(aSelf);
    self->lastReceiveMs_ = EventLoop::NowMs();
    // Bytes of an incomplete message count as activity; if the message turns
    // out to be a KeepAlive, OnMessage restores the previous time.
    self->payloadBeforeReadMs_ =
      std::exchange(self->lastPayloadMs_, self->lastReceiveMs_);
    evbuffer* input = bufferevent_get_input(aStream);
    std::string bytes(evbuffer_get_length(input), '\0');
    self->receivedBytes_ += static_cast<int64_t>(bytes.size());
    self->loop_.TrafficCounters().AddRead(Remote::kPeer, bytes.size());
    self->partialBytes_ += static_cast<int64_t>(bytes.size());
    evbuffer_remove(input, bytes.data(), bytes.size());
    self->session_.Feed(bytes.data(), bytes.size());
  }

  static void OnEvent(bufferevent* aStream, short aWhat, void* aSelf)
  {
    auto* self = static_cast<State*>(aSelf);
    if ((aWhat & BEV_EVENT_CONNECTED) != 0) {
      TuneSocket(bufferevent_getfd(aStream));
      self->session_.Start();
    } else if ((aWhat & (BEV_EVENT_ERROR | BEV_EVENT_EOF)) != 0) {
      self->Close();
    }
  }

  EventLoop& loop_;
  bool isClient_;
  PeerLinkLimits limits_;
  PeerLinkHooks hooks_;
  std::unique_ptr<bufferevent, StreamDeleter> stream_;
  WebSocketSession session_;
  Timer timer_;
  int64_t lastReceiveMs_;
  int64_t lastPayloadMs_;
  int64_t payloadBeforeReadMs_ = 0;
  /// Time at which the last message was sent that the peer has answered.
  int64_t lastContactMs_;
  bool hasEcho_ = false;
  int unansweredKeepAlives_ = 0;
  int64_t receivedBytes_ = 0;
  int64_t partialBytes_ = 0;
  bool open_ = false;
  bool closed_ = false;
  bool sentSinceTimer_ = false;
  /// Tells deferred calls whether this link still exists.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

PeerLink::PeerLink(EventLoop& aLoop,
                   const Address& aAddress,
                   const std::string& aFrom,
                   PeerLinkLimits aLimits,
                   PeerLinkHooks aHooks)
  : state_(std::make_unique<State>(aLoop,
                                   MakeBoundSocket(aFrom),
                                   true,
                                   aLimits,
                                   std::move(aHooks)))
{
  sockaddr_in address = ToSocketAddress(aAddress);
  const int result =
    bufferevent_socket_connect(state_->stream_.get(),
                               reinterpret_cast<sockaddr*>(&address),
                               sizeof(address));
  if (result != 0) {
    state_->Close();
  }
}

PeerLink::PeerLink(EventLoop& aLoop,
                   int aSocket,
                   PeerLinkLimits aLimits,
                   PeerLinkHooks aHooks)
  : state_(std::make_unique<State>(aLoop,
                                   aSocket,
                                   false,
                                   aLimits,
                                   std::move(aHooks)))
{
  TuneSocket(aSocket);
  state_->session_.Start();
}

PeerLink::~PeerLink() = default;

void
PeerLink::Send(const PeerMessage& aMessage)
{
  // Skips encoding a message that would be dropped.
  if (IsOpen()) {
    state_->Send(EncodedMessage(aMessage));
  }
}

void
PeerLink::Send(const EncodedMessage& aMessage)
{
  state_->Send(aMessage);
}

size_t
PeerLink::PendingBytes() const
{
  return evbuffer_get_length(bufferevent_get_output(state_->stream_.get()));
}

LinkActivity
PeerLink::Activity() const
{
  const int64_t now = EventLoop::NowMs();
  return { .sinceReceiveMs_ = now - state_->lastReceiveMs_,
           .sinceMessageMs_ = now - state_->lastPayloadMs_,
           .sinceContactMs_ = now - state_->LastContactMs(),
           .receivedBytes_ = state_->receivedBytes_,
           .partialBytes_ = state_->partialBytes_ };
}

bool
PeerLink::IsOpen() const
{
  return state_->open_;
}

} // namespace cactuswick::transport

#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "cactuswick/transport/connection/EncodedMessage.h"
#include "cactuswick/transport/connection/PeerMessage.h"
#include "cactuswick/transport/process/Address.h"
#include "cactuswick/transport/process/EventLoop.h"

namespace cactuswick::transport {

/// Timeouts and buffer limit of a PeerLink.
struct PeerLinkLimits
{
  /// Interval at which KeepAlives are sent.
  int64_t keepAliveMs_ = 400;
  /// A link on which nothing is received for longer is closed.
  int64_t silenceTimeoutMs_ = 1'500;
  /// A link with more unsent bytes is closed, since its peer does not read.
  size_t maxPendingBytes_ = size_t{ 64 } << 20;
};

/// Callbacks of a PeerLink.
struct PeerLinkHooks
{
  std::function<void()> onOpen_;
  std::function<void(PeerMessage)> onMessage_;
  /// Called once when the link is closed; the owner destroys the link in this
  /// callback or before it.
  std::function<void()> onClosed_;
};

/// Times and bytes received on a link.
struct LinkActivity
{
  /// Time since bytes were last received, or since the link was created.
  int64_t sinceReceiveMs_ = 0;
  /// Time since bytes of a message other than a KeepAlive were last received,
  /// or since the link was created.
  int64_t sinceMessageMs_ = 0;
  /// Time since the peer was last known to be reached: since the last message
  /// was sent that it has answered, or since it was dialled. Bytes that are
  /// read now may have been sent long ago, before a freeze of this process or a
  /// cut of the link.
  int64_t sinceContactMs_ = 0;
  int64_t receivedBytes_ = 0;
  /// Bytes received of an incomplete message, without those that were read
  /// together with the end of the previous message.
  int64_t partialBytes_ = 0;

  bool operator==(const LinkActivity&) const = default;
};

/// One connection between two processes of the fleet.
///
/// Messages are delivered in order and at most once. Those in flight when a
/// link fails are lost, and the layers above retry them. A link without any
/// bytes within the silence timeout counts as failed.
class PeerLink
{
public:
  /// Connects to @p aAddress, from the local IP address @p aFrom unless it is
  /// empty.
  PeerLink(EventLoop& aLoop,
           const Address& aAddress,
           const std::string& aFrom,
           PeerLinkLimits aLimits,
           PeerLinkHooks aHooks);
  /// Takes over an accepted socket.
  PeerLink(EventLoop& aLoop,
           int aSocket,
           PeerLinkLimits aLimits,
           PeerLinkHooks aHooks);
  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;
  ~PeerLink();

  /// Queues a message; drops it if the link is not open.
  void Send(const PeerMessage& aMessage);
  void Send(const EncodedMessage& aMessage);
  /// Returns the bytes that are queued and not yet written to the socket.
  size_t PendingBytes() const;
  LinkActivity Activity() const;
  bool IsOpen() const;

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace cactuswick::transport

#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "cactuswick/transport/connection/EncodedMessage.h"
#include "cactuswick/transport/connection/PeerMessage.h"
#include "cactuswick/transport/process/Address.h"
#include "cactuswick/transport/process/EventLoop.h"

namespace cactuswick::transport {

/// Limits of a link between processes.
struct PeerLinkLimits
{
  /// Something is sent at least this often.
  int64_t keepAliveMs_ = 400;
  /// A link that stays silent for longer is closed.
  int64_t silenceMs_ = 1'500;
  /// A link whose other end takes nothing is closed beyond this.
  size_t maxPendingBytes_ = size_t{ 64 } << 20;
};

struct PeerLinkHooks
{
  std::function<void()> onOpen_;
  std::function<void(PeerMessage)> onMessage_;
  /// Called once; the owner destroys the link, at the latest by then.
  std::function<void()> onClosed_;
};

/// What has come in on a link.
struct LinkActivity
{
  /// Since the last bytes, or since the link was made.
  int64_t sinceReceiveMs_ = 0;
  /// Since the last bytes of a message other than a keep-alive, or since the
  /// link was made.
  int64_t sinceMessageMs_ = 0;
  int64_t receivedBytes_ = 0;
  /// Of a message that is arriving and not whole yet; those that came together
  /// with the end of the message before are left out.
  int64_t partialBytes_ = 0;

  bool operator==(const LinkActivity&) const = default;
};

/// One connection between two of the system's processes.
///
/// Messages are typed, in order and at most once; those under way when a link
/// fails are lost, and the layers above send them again. Silence is a failure.
class PeerLink
{
public:
  /// Connects to @p aAddress, from the IP number @p aFrom unless empty.
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

  /// Queues a message; lost when the link is not open.
  void Send(const PeerMessage& aMessage);
  void Send(const EncodedMessage& aMessage);
  /// Bytes that the system has not taken yet.
  size_t PendingBytes() const;
  LinkActivity Activity() const;
  bool IsOpen() const;

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace cactuswick::transport

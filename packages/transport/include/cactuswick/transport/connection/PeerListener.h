#pragma once

#include <functional>
#include <memory>

#include <absl/status/status.h>

#include "cactuswick/transport/connection/PeerLink.h"

namespace cactuswick::transport {

/// Identifies an accepted link within its listener.
using LinkId = int64_t;

/// Limits and callbacks of a PeerListener.
struct PeerListenerOptions
{
  PeerLinkLimits limits_;
  std::function<void(LinkId, PeerMessage)> onMessage_;
  std::function<void(LinkId)> onDown_;
};

/// Accepts links from other processes of the fleet at one address.
class PeerListener
{
public:
  PeerListener(EventLoop& aLoop, PeerListenerOptions aOptions);
  PeerListener(const PeerListener&) = delete;
  PeerListener& operator=(const PeerListener&) = delete;
  ~PeerListener();

  /// Binds exclusively; returns kIo when the address can't be bound, as when
  /// another process uses it.
  absl::Status Listen(const Address& aAddress);

  /// Sends on an accepted link; drops the message if the link is closed.
  void Send(LinkId aLink, const PeerMessage& aMessage);
  void Send(LinkId aLink, const EncodedMessage& aMessage);
  /// Returns the bytes that are queued on a link and not yet written to the
  /// socket.
  size_t PendingBytes(LinkId aLink) const;
  /// Returns the activity of a link; all zero if it is closed.
  LinkActivity Activity(LinkId aLink) const;

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace cactuswick::transport

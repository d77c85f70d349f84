#pragma once

#include <functional>
#include <memory>

#include <absl/status/status.h>

#include "cactuswick/transport/connection/PeerLink.h"

namespace cactuswick::transport {

/// Names an accepted link within its listener.
using LinkId = int64_t;

struct PeerListenerOptions
{
  PeerLinkLimits limits_;
  std::function<void(LinkId, PeerMessage)> onMessage_;
  std::function<void(LinkId)> onDown_;
};

/// Accepts links from other processes at one address.
class PeerListener
{
public:
  PeerListener(EventLoop& aLoop, PeerListenerOptions aOptions);
  PeerListener(const PeerListener&) = delete;
  PeerListener& operator=(const PeerListener&) = delete;
  ~PeerListener();

  /// Binds exclusively; kIo when another process has the address.
  absl::Status Listen(const Address& aAddress);

  /// Sends on an accepted link; lost when it is gone.
  void Send(LinkId aLink, const PeerMessage& aMessage);
  void Send(LinkId aLink, const EncodedMessage& aMessage);
  /// Bytes sent on a link that the system has not taken yet.
  size_t PendingBytes(LinkId aLink) const;
  /// What came in on a link; nothing when it is gone.
  LinkActivity Activity(LinkId aLink) const;

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace cactuswick::transport

#pragma once

#include <functional>
#include <memory>

#include "cactuswick/transport/connection/PeerLink.h"

namespace cactuswick::transport {

/// Target, limits and callbacks of a PeerDialer.
struct PeerDialerOptions
{
  Address address_;
  /// Local IP address to connect from; empty lets the system choose.
  std::string from_;
  PeerLinkLimits limits_;
  /// First and longest delay before reconnecting; it doubles after each
  /// failure.
  int64_t minBackoffMs_ = 50;
  int64_t maxBackoffMs_ = 1'000;
  std::function<void()> onUp_;
  std::function<void(PeerMessage)> onMessage_;
  std::function<void()> onDown_;
};

/// Keeps a link to one address and reconnects with backoff when it fails.
class PeerDialer
{
public:
  PeerDialer(EventLoop& aLoop, PeerDialerOptions aOptions);
  PeerDialer(const PeerDialer&) = delete;
  PeerDialer& operator=(const PeerDialer&) = delete;
  ~PeerDialer();

  /// Sends on the open link; drops the message if there is none.
  void Send(const PeerMessage& aMessage);
  void Send(const EncodedMessage& aMessage);
  bool IsUp() const;
  /// Returns the activity of the current link; all zero if there is none.
  LinkActivity Activity() const;
  const Address& Target() const;

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace cactuswick::transport

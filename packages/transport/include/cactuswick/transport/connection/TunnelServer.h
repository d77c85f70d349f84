#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include <absl/status/status.h>

#include "cactuswick/transport/connection/TunnelOutcome.h"
#include "cactuswick/transport/process/Address.h"
#include "cactuswick/transport/process/EventLoop.h"

namespace cactuswick::transport {

struct TunnelServerOptions
{
  /// Tunnels that may be open at once; further ones are refused.
  size_t maxTunnels_ = 256;
  /// Longest time for the client's request, and then for the connection to the
  /// endpoint, in milliseconds.
  int64_t connectTimeoutMs_ = 700;
  /// Returns kOpened if a tunnel to an endpoint may be opened now, and
  /// otherwise why not.
  std::function<TunnelOutcome(const Address& aEndpoint)> check_;
  /// Called with the result of each connection attempt to an endpoint.
  std::function<void(const Address& aEndpoint, bool aConnected)> onConnect_;
};

/// Connects other routers, which cannot reach the endpoints themselves, to
/// endpoints: HTTP CONNECT, followed by bytes that pass unchanged both ways. A
/// client may send its first bytes along with the request; none of them reaches
/// the endpoint unless the tunnel is opened.
///
/// The ends of both connections are passed on as they were, so that a response
/// that was reset does not look complete. A tunnel holds a bounded number of
/// bytes; it reads on as the other side takes them.
class TunnelServer
{
public:
  TunnelServer(EventLoop& aLoop, TunnelServerOptions aOptions);
  TunnelServer(const TunnelServer&) = delete;
  TunnelServer& operator=(const TunnelServer&) = delete;
  ~TunnelServer();

  absl::Status Listen(const Address& aAddress);

  /// Closes all tunnels; those that are asked for later are served.
  void CloseAll();
  /// Returns the number of tunnels that are open or being opened.
  size_t Size() const;

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace cactuswick::transport

#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "cactuswick/transport/connection/TunnelServer.h"

struct bufferevent;

namespace cactuswick::transport {

struct BuffereventDeleter
{
  void operator()(bufferevent* aStream) const;
};

using BuffereventPointer = std::unique_ptr<bufferevent, BuffereventDeleter>;

/// One tunnel of a TunnelServer, from the accepted connection on.
class Tunnel
{
public:
  /// @p aOptions outlives the tunnel; @p aOnClosed is called once from the
  /// loop, and may destroy the tunnel.
  Tunnel(EventLoop& aLoop,
         int aSocket,
         const TunnelServerOptions& aOptions,
         std::function<void()> aOnClosed);
  Tunnel(const Tunnel&) = delete;
  Tunnel& operator=(const Tunnel&) = delete;
  ~Tunnel();

private:
  enum class Phase
  {
    /// The client's request is being read.
    kRequest,
    kConnecting,
    kOpen,
    /// The last bytes are sent to the client, which then closes its connection.
    kClosing,
    kClosed,
  };

  static void OnClientRead(bufferevent* aStream, void* aSelf);
  static void OnClientWritten(bufferevent* aStream, void* aSelf);
  static void OnClientEvent(bufferevent* aStream, short aWhat, void* aSelf);
  static void OnEndpointRead(bufferevent* aStream, void* aSelf);
  static void OnEndpointWritten(bufferevent* aStream, void* aSelf);
  static void OnEndpointEvent(bufferevent* aStream, short aWhat, void* aSelf);

  void ReadRequest();
  void Connect(const Address& aEndpoint);
  void OnConnected();
  void OnConnectFailed();
  void OnTimeout();
  /// Moves what was read on one side to the other, and pauses reading while
  /// the other side holds much of it.
  static void PassOn(bufferevent* aFrom, bufferevent* aTo);
  /// Sends a refusal and closes the connection.
  void Refuse(TunnelOutcome aOutcome);
  /// Closes this side of the client's connection once all bytes are sent.
  void CloseAfterSending();
  void EndSending();
  void DiscardInput();
  /// Closes the client's connection so that the client sees a reset.
  void Reset();
  void Close();

  EventLoop& loop_;
  const TunnelServerOptions& options_;
  std::function<void()> onClosed_;
  Phase phase_ = Phase::kRequest;
  Address endpointAddress_;
  BuffereventPointer client_;
  BuffereventPointer endpoint_;
  Timer timer_;
  /// Bytes for the client at the last look while the tunnel closes.
  size_t unsentBytes_ = 0;
  /// Expires with the tunnel, before deferred calls.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace cactuswick::transport

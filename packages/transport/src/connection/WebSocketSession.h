#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace cactuswick::transport {

/// Role, limit and callbacks of a WebSocketSession.
struct WebSocketOptions
{
  bool isClient_ = false;
  size_t maxMessageBytes_ = size_t{ 32 } << 20;
  /// Writes bytes to the underlying stream.
  std::function<void(const char* aData, size_t aSize)> write_;
  std::function<void()> onOpen_;
  std::function<void(const std::string& aMessage)> onMessage_;
  /// Called when the session fails or the peer closes it.
  std::function<void()> onClosed_;
};

/// The WebSocket protocol over a byte stream that the owner reads and writes.
///
/// Its source is compiled as C++17, which websocketpp needs, so nothing in this
/// header may depend on the language standard.
class WebSocketSession
{
public:
  explicit WebSocketSession(WebSocketOptions aOptions);
  WebSocketSession(const WebSocketSession&) = delete;
  WebSocketSession& operator=(const WebSocketSession&) = delete;
  ~WebSocketSession();

  /// Starts the handshake; a client sends its request, a server waits for one.
  void Start();
  /// Processes bytes received from the peer.
  void Feed(const char* aData, size_t aSize);
  /// Sends one binary message; returns false if the session is not open.
  bool Send(std::string_view aMessage);

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace cactuswick::transport

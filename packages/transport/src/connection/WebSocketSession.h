#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace cactuswick::transport {

struct WebSocketOptions
{
  bool isClient_ = false;
  size_t maxMessageBytes_ = size_t{ 32 } << 20;
  /// Bytes for the other end.
  std::function<void(const char* aData, size_t aSize)> write_;
  std::function<void()> onOpen_;
  std::function<void(const std::string& aMessage)> onMessage_;
  /// The session failed or was closed by the other end.
  std::function<void()> onClosed_;
};

/// The WebSocket protocol over a byte stream that somebody else carries.
///
/// Its sources are compiled as C++17, which websocketpp needs; nothing here
/// may depend on the language level.
class WebSocketSession
{
public:
  explicit WebSocketSession(WebSocketOptions aOptions);
  WebSocketSession(const WebSocketSession&) = delete;
  WebSocketSession& operator=(const WebSocketSession&) = delete;
  ~WebSocketSession();

  /// Starts the handshake; a client sends its request now.
  void Start();
  /// Takes bytes from the other end.
  void Feed(const char* aData, size_t aSize);
  /// Sends one binary message; false when the session is not open.
  bool Send(std::string_view aMessage);

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace cactuswick::transport

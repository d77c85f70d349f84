#pragma once

#include <map>
#include <memory>

#include "cactuswick/transport/process/EventLoop.h"

namespace cactuswick::transport {

/// Sockets of connections that have ended with a last response. They are kept
/// open for a short time, and what they receive is discarded, so that the
/// response is not lost by a reset. They hold no memory but the kernel's.
class LingeringSockets
{
public:
  explicit LingeringSockets(EventLoop& aLoop);
  LingeringSockets(const LingeringSockets&) = delete;
  LingeringSockets& operator=(const LingeringSockets&) = delete;
  ~LingeringSockets();

  /// Sends @p aResponse as far as the socket takes it, then ends the sending
  /// side. The socket stays open beside @p aSocket, which the caller closes.
  /// While too many sockets linger, the response may be lost by a reset.
  void Start(int aSocket, std::string_view aResponse);

private:
  struct Entry
  {
    LingeringSockets* owner_ = nullptr;
    int64_t untilMs_ = 0;
    std::unique_ptr<event, EventDeleter> readable_;
  };

  static void OnReadable(int aSocket, short aWhat, void* aEntry);
  void End(int aSocket);

  EventLoop& loop_;
  std::map<int, Entry> entries_;
};

} // namespace cactuswick::transport

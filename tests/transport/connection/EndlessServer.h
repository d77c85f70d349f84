#pragma once

#include <atomic>
#include <cstddef>
#include <string>
#include <utility>

#include "connection/LoopbackServer.h"

namespace cactuswick::transport {

/// A loopback server that reads nothing, sends a beginning and then repeats the
/// same bytes until the client closes the connection or the cap is reached.
class EndlessServer
{
public:
  static constexpr size_t kCapBytes = size_t{ 16 } << 20;

  EndlessServer(uint16_t aPort, std::string aBegin, const std::string& aRepeat)
    : begin_(std::move(aBegin))
    , piece_(RepeatBytes(aRepeat))
    , server_(aPort, [this](int aHandle) { Serve(aHandle); })
  {
  }

  size_t SentBytes() const { return sentBytes_; }

private:
  void Serve(int aHandle)
  {
    // A small send buffer, so that most bytes sent have been read.
    constexpr int kSendBuffer = 64 << 10;
    setsockopt(
      aHandle, SOL_SOCKET, SO_SNDBUF, &kSendBuffer, sizeof(kSendBuffer));
    bool open = Send(aHandle, begin_);
    while (open && sentBytes_ < kCapBytes) {
      open = Send(aHandle, piece_);
    }
  }

  bool Send(int aHandle, const std::string& aBytes)
  {
    size_t sent = 0;
    while (sent < aBytes.size()) {
      const ssize_t count =
        send(aHandle, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) {
        return false;
      }
      sent += static_cast<size_t>(count);
      sentBytes_ += static_cast<size_t>(count);
    }
    return true;
  }

  std::string begin_;
  std::string piece_;
  std::atomic<size_t> sentBytes_ = 0;
  LoopbackServer server_;
};

} // namespace cactuswick::transport

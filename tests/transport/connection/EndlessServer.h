#pragma once

#include <atomic>
#include <cstddef>
#include <string>
#include <thread>

#include "connection/LoopbackCaller.h"

namespace cactuswick::transport {

/// A server on loopback that reads nothing, sends a beginning and then the
/// same bytes again and again, until its caller closes or the cap is reached.
class EndlessServer
{
public:
  static constexpr size_t kCapBytes = size_t{ 16 } << 20;

  EndlessServer(uint16_t aPort, std::string aBegin, const std::string& aRepeat)
    : listener_(ListenAt(aPort))
    , begin_(std::move(aBegin))
  {
    constexpr size_t kPieceBytes = size_t{ 16 } << 10;
    while (piece_.size() < kPieceBytes) {
      piece_.append(aRepeat);
    }
    thread_ = std::thread([this] { Serve(); });
  }

  EndlessServer(const EndlessServer&) = delete;
  EndlessServer& operator=(const EndlessServer&) = delete;

  ~EndlessServer()
  {
    shutdown(listener_, SHUT_RDWR);
    thread_.join();
    close(listener_);
  }

  size_t SentBytes() const { return sentBytes_; }

private:
  void Serve()
  {
    const int handle = accept(listener_, nullptr, nullptr);
    // The system holds little, so that what is sent has been read.
    constexpr int kSendBuffer = 64 << 10;
    setsockopt(
      handle, SOL_SOCKET, SO_SNDBUF, &kSendBuffer, sizeof(kSendBuffer));
    bool open = Send(handle, begin_);
    while (open && sentBytes_ < kCapBytes) {
      open = Send(handle, piece_);
    }
    close(handle);
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

  int listener_;
  std::string begin_;
  std::string piece_;
  std::atomic<size_t> sentBytes_ = 0;
  std::thread thread_;
};

} // namespace cactuswick::transport

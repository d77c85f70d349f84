#pragma once

#include <cstddef>
#include <ostream>
#include <string>
#include <thread>

#include "cactuswick/transport/process/EventLoop.h"
#include "connection/LoopbackCaller.h"

namespace cactuswick::transport {

/// Bytes that a client sends once, and bytes that it then repeats endlessly.
struct EndlessCase
{
  std::string name_;
  std::string begin_;
  std::string repeat_;
};

inline std::ostream&
operator<<(std::ostream& aStream, const EndlessCase& aCase)
{
  return aStream << aCase.name_;
}

/// Sends until the server closes the connection or stops reading, or until
/// @p aCapBytes are sent; returns the number of repeated bytes sent.
inline size_t
SendEndlessly(uint16_t aPort, const EndlessCase& aCase, size_t aCapBytes)
{
  constexpr int kSendBuffer = 64 << 10;
  constexpr timeval kTimeout{ .tv_sec = 1, .tv_usec = 0 };
  const std::string piece = RepeatBytes(aCase.repeat_);
  const int handle = ConnectTo(aPort);
  setsockopt(handle, SOL_SOCKET, SO_SNDBUF, &kSendBuffer, sizeof(kSendBuffer));
  setsockopt(handle, SOL_SOCKET, SO_SNDTIMEO, &kTimeout, sizeof(kTimeout));
  ssize_t count =
    send(handle, aCase.begin_.data(), aCase.begin_.size(), MSG_NOSIGNAL);
  size_t sent = 0;
  while (count > 0 && sent < aCapBytes) {
    count = send(handle, piece.data(), piece.size(), MSG_NOSIGNAL);
    sent += count > 0 ? static_cast<size_t>(count) : 0;
  }
  close(handle);
  return sent;
}

/// Runs SendEndlessly on another thread while @p aLoop runs the server.
inline size_t
SendEndlesslyTo(EventLoop& aLoop,
                uint16_t aPort,
                const EndlessCase& aCase,
                size_t aCapBytes)
{
  size_t sent = 0;
  Waker done(aLoop, [&] { aLoop.Stop(); });
  std::thread caller([&] {
    sent = SendEndlessly(aPort, aCase, aCapBytes);
    done.Wake();
  });
  aLoop.Run();
  caller.join();
  return sent;
}

} // namespace cactuswick::transport

#pragma once

#include <cstddef>
#include <ostream>
#include <string>
#include <thread>

#include "cactuswick/transport/process/EventLoop.h"
#include "connection/LoopbackCaller.h"

namespace cactuswick::transport {

/// What a caller sends first, and then again and again.
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

/// Sends until the server closes or reads no more; returns what it took.
inline size_t
SendWithoutEnd(uint16_t aPort, const EndlessCase& aCase, size_t aCapBytes)
{
  constexpr int kSendBuffer = 64 << 10;
  constexpr timeval kWait{ .tv_sec = 1, .tv_usec = 0 };
  const std::string piece = RepeatedPiece(aCase.repeat_);
  const int handle = ConnectTo(aPort);
  setsockopt(handle, SOL_SOCKET, SO_SNDBUF, &kSendBuffer, sizeof(kSendBuffer));
  setsockopt(handle, SOL_SOCKET, SO_SNDTIMEO, &kWait, sizeof(kWait));
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

/// The same beside the loop on which the server runs.
inline size_t
SendWithoutEndTo(EventLoop& aLoop,
                 uint16_t aPort,
                 const EndlessCase& aCase,
                 size_t aCapBytes)
{
  size_t sent = 0;
  Waker done(aLoop, [&] { aLoop.Stop(); });
  std::thread caller([&] {
    sent = SendWithoutEnd(aPort, aCase, aCapBytes);
    done.Wake();
  });
  aLoop.Run();
  caller.join();
  return sent;
}

} // namespace cactuswick::transport

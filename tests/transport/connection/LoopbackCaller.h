#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

/// Raw loopback sockets for tests.
namespace cactuswick::transport {

/// Returns a loopback address derived from the process id, so that no other
/// process uses the same port on it.
inline std::string
ProcessLoopbackHost()
{
  constexpr int kPerByte = 250;
  const int id = getpid();
  return "127.77." + std::to_string(id / kPerByte % kPerByte) + "." +
         std::to_string(id % kPerByte + 1);
}

inline sockaddr_in
AddressOf(uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  inet_pton(AF_INET, ProcessLoopbackHost().c_str(), &address.sin_addr);
  return address;
}

/// Returns a socket that listens on @p aPort of ProcessLoopbackHost.
inline int
ListenAt(uint16_t aPort)
{
  constexpr int kOn = 1;
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &kOn, sizeof(kOn));
  const sockaddr_in address = AddressOf(aPort);
  EXPECT_EQ(bind(listener,
                 reinterpret_cast<const sockaddr*>(&address),
                 sizeof(address)),
            0);
  EXPECT_EQ(listen(listener, 1), 0);
  return listener;
}

/// Returns a socket connected to @p aPort of ProcessLoopbackHost.
inline int
ConnectTo(uint16_t aPort)
{
  const int handle = socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in address = AddressOf(aPort);
  EXPECT_EQ(connect(handle,
                    reinterpret_cast<const sockaddr*>(&address),
                    sizeof(address)),
            0);
  return handle;
}

/// Sends a request and reads until the response ends with @p aSuffix; returns
/// false if the server closes the connection first or a read or write times
/// out.
inline bool
SendRequest(int aHandle, std::string_view aRequest, std::string_view aSuffix)
{
  constexpr size_t kPieceBytes = size_t{ 4 } << 10;
  constexpr timeval kTimeout{ .tv_sec = 10, .tv_usec = 0 };
  setsockopt(aHandle, SOL_SOCKET, SO_RCVTIMEO, &kTimeout, sizeof(kTimeout));
  setsockopt(aHandle, SOL_SOCKET, SO_SNDTIMEO, &kTimeout, sizeof(kTimeout));
  while (!aRequest.empty()) {
    const ssize_t count =
      send(aHandle, aRequest.data(), aRequest.size(), MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    aRequest.remove_prefix(static_cast<size_t>(count));
  }
  std::string response;
  while (!response.ends_with(aSuffix)) {
    std::string piece(kPieceBytes, '\0');
    const ssize_t count = recv(aHandle, piece.data(), piece.size(), 0);
    if (count <= 0) {
      return false;
    }
    response.append(piece, 0, static_cast<size_t>(count));
  }
  return true;
}

/// Returns at least 16 KiB of repeated @p aBytes.
inline std::string
RepeatBytes(const std::string& aBytes)
{
  constexpr size_t kPieceBytes = size_t{ 16 } << 10;
  std::string piece;
  while (piece.size() < kPieceBytes) {
    piece.append(aBytes);
  }
  return piece;
}

} // namespace cactuswick::transport

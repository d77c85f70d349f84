#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

/// Raw sockets on loopback, for tests of servers.
namespace cactuswick::transport {

/// A loopback address of this process's own, so that nothing else has the port.
inline std::string
OwnHost()
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
  inet_pton(AF_INET, OwnHost().c_str(), &address.sin_addr);
  return address;
}

/// A socket that listens at @p aPort of the own host.
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

/// A socket that is connected to @p aPort of the own host.
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

/// Sends a request whole and reads until its answer ends with @p aEnd; false
/// when the server closes first or is silent for long.
inline bool
Ask(int aHandle, std::string_view aRequest, std::string_view aEnd)
{
  constexpr size_t kPieceBytes = size_t{ 4 } << 10;
  constexpr timeval kWait{ .tv_sec = 10, .tv_usec = 0 };
  setsockopt(aHandle, SOL_SOCKET, SO_RCVTIMEO, &kWait, sizeof(kWait));
  setsockopt(aHandle, SOL_SOCKET, SO_SNDTIMEO, &kWait, sizeof(kWait));
  while (!aRequest.empty()) {
    const ssize_t count =
      send(aHandle, aRequest.data(), aRequest.size(), MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    aRequest.remove_prefix(static_cast<size_t>(count));
  }
  std::string answer;
  while (!answer.ends_with(aEnd)) {
    std::string piece(kPieceBytes, '\0');
    const ssize_t count = recv(aHandle, piece.data(), piece.size(), 0);
    if (count <= 0) {
      return false;
    }
    answer.append(piece, 0, static_cast<size_t>(count));
  }
  return true;
}

/// A piece of some size that repeats the same bytes.
inline std::string
RepeatedPiece(const std::string& aBytes)
{
  constexpr size_t kPieceBytes = size_t{ 16 } << 10;
  std::string piece;
  while (piece.size() < kPieceBytes) {
    piece.append(aBytes);
  }
  return piece;
}

} // namespace cactuswick::transport

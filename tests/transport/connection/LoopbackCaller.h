#pragma once

#include <cstdint>
#include <string>

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

} // namespace cactuswick::transport

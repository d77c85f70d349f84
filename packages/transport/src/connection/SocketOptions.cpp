#include "connection/SocketOptions.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace cactuswick::transport {

namespace {

/// Time after which unacknowledged bytes end the connection.
constexpr unsigned kUserTimeoutMs = 2'500;
constexpr int kKeepAliveIdleS = 2;
constexpr int kKeepAliveIntervalS = 1;
constexpr int kKeepAliveProbes = 2;

template<class T>
void
SetOption(int aSocket, int aLevel, int aName, T aValue)
{
  // Ignored, since a missing option only delays detecting a dead peer.
  static_cast<void>(
    setsockopt(aSocket, aLevel, aName, &aValue, sizeof(aValue)));
}

} // namespace

void
TuneSocket(int aSocket)
{
  if (aSocket < 0) {
    return;
  }
  SetOption(aSocket, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(aSocket, IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMs);
  SetOption(aSocket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(aSocket, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleS);
  SetOption(aSocket, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalS);
  SetOption(aSocket, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
}

} // namespace cactuswick::transport

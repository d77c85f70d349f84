#pragma once

#include <string>
#include <utility>

#include "connection/LoopbackServer.h"

namespace cactuswick::transport {

/// A loopback server that reads one request and sends a fixed response. Then it
/// either shuts down its side of the connection or waits for the client to
/// close it.
class CannedResponseServer
{
public:
  CannedResponseServer(uint16_t aPort, std::string aResponse, bool aShutsDown)
    : response_(std::move(aResponse))
    , shutsDown_(aShutsDown)
    , server_(aPort, [this](int aHandle) { Serve(aHandle); })
  {
  }

private:
  void Serve(int aHandle) const
  {
    char request[1'024];
    recv(aHandle, request, sizeof(request), 0);
    send(aHandle, response_.data(), response_.size(), MSG_NOSIGNAL);
    if (shutsDown_) {
      shutdown(aHandle, SHUT_WR);
    }
    // Closing a socket with unread bytes would reset the connection.
    while (recv(aHandle, request, sizeof(request), 0) > 0) {
    }
  }

  std::string response_;
  bool shutsDown_;
  LoopbackServer server_;
};

} // namespace cactuswick::transport

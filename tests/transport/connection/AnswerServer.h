#pragma once

#include <string>
#include <utility>

#include "connection/LoopbackServer.h"

namespace cactuswick::transport {

/// A server on loopback that takes one request and sends the same bytes
/// whatever it asks for. Then it ends its side of the connection, or waits for
/// its caller to close.
class AnswerServer
{
public:
  AnswerServer(uint16_t aPort, std::string aAnswer, bool aEnds)
    : answer_(std::move(aAnswer))
    , ends_(aEnds)
    , server_(aPort, [this](int aHandle) { Serve(aHandle); })
  {
  }

private:
  void Serve(int aHandle) const
  {
    char request[1'024];
    recv(aHandle, request, sizeof(request), 0);
    send(aHandle, answer_.data(), answer_.size(), MSG_NOSIGNAL);
    if (ends_) {
      shutdown(aHandle, SHUT_WR);
    }
    // A socket that is closed with bytes unread resets its connection.
    while (recv(aHandle, request, sizeof(request), 0) > 0) {
    }
  }

  std::string answer_;
  bool ends_;
  LoopbackServer server_;
};

} // namespace cactuswick::transport

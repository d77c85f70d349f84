#pragma once

#include <string>
#include <thread>
#include <utility>

#include "connection/LoopbackCaller.h"

namespace cactuswick::transport {

/// A server on loopback that takes one request and sends the same bytes
/// whatever it asks for. Then it ends its side of the connection, or waits for
/// its caller to close.
class AnswerServer
{
public:
  AnswerServer(uint16_t aPort, std::string aAnswer, bool aEnds)
    : listener_(ListenAt(aPort))
    , answer_(std::move(aAnswer))
    , ends_(aEnds)
  {
    thread_ = std::thread([this] { Serve(); });
  }

  AnswerServer(const AnswerServer&) = delete;
  AnswerServer& operator=(const AnswerServer&) = delete;

  ~AnswerServer()
  {
    shutdown(listener_, SHUT_RDWR);
    thread_.join();
    close(listener_);
  }

private:
  void Serve() const
  {
    const int handle = accept(listener_, nullptr, nullptr);
    char request[1'024];
    recv(handle, request, sizeof(request), 0);
    send(handle, answer_.data(), answer_.size(), MSG_NOSIGNAL);
    if (ends_) {
      shutdown(handle, SHUT_WR);
    }
    // A socket that is closed with bytes unread resets its connection.
    while (recv(handle, request, sizeof(request), 0) > 0) {
    }
    close(handle);
  }

  int listener_;
  std::string answer_;
  bool ends_;
  std::thread thread_;
};

} // namespace cactuswick::transport

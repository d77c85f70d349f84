#pragma once

#include <functional>
#include <thread>
#include <utility>

#include "connection/LoopbackCaller.h"

namespace cactuswick::transport {

/// Takes one connection on loopback and serves it on a thread of its own, which
/// ends before the server does.
class LoopbackServer
{
public:
  /// @p aServe gets the socket of the connection, which is closed after it.
  LoopbackServer(uint16_t aPort, std::function<void(int)> aServe)
    : listener_(ListenAt(aPort))
    , thread_([this, serve = std::move(aServe)] {
      const int handle = accept(listener_, nullptr, nullptr);
      serve(handle);
      close(handle);
    })
  {
  }

  LoopbackServer(const LoopbackServer&) = delete;
  LoopbackServer& operator=(const LoopbackServer&) = delete;

  ~LoopbackServer()
  {
    shutdown(listener_, SHUT_RDWR);
    thread_.join();
    close(listener_);
  }

private:
  int listener_;
  std::thread thread_;
};

} // namespace cactuswick::transport

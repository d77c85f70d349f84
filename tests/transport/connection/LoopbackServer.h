#pragma once

#include <functional>
#include <thread>
#include <utility>

#include "connection/LoopbackCaller.h"

namespace cactuswick::transport {

/// Accepts one loopback connection and serves it on its own thread, which the
/// destructor joins.
class LoopbackServer
{
public:
  /// @p aServe is called with the connection's socket, which is closed when it
  /// returns.
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

#pragma once

#include <cstddef>
#include <functional>
#include <memory>

#include <absl/status/status.h>

#include "cactuswick/transport/connection/HttpExchange.h"
#include "cactuswick/transport/process/Address.h"

struct evhttp;

namespace cactuswick::transport {

struct HttpServerOptions
{
  size_t maxHeaderBytes_ = size_t{ 16 } << 10;
  size_t maxBodyBytes_ = size_t{ 1 } << 20;
  /// Silence after which an idle connection is closed.
  int64_t idleTimeoutMs_ = 60'000;
  /// While the process has more open descriptors, nothing is accepted and
  /// further callers wait in the system's queue; 0 for no limit.
  size_t maxDescriptors_ = 0;
  std::function<void(std::unique_ptr<HttpExchange>)> onRequest_;
};

/// Accepts HTTP requests at one address.
class HttpServer
{
public:
  HttpServer(EventLoop& aLoop, HttpServerOptions aOptions);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  ~HttpServer();

  /// Binds exclusively; kIo when another process has the address.
  absl::Status Listen(const Address& aAddress);
  /// Accepts no further connections; open ones go on.
  void StopListening();

private:
  void AcceptWithinLimit();

  struct State;
  std::unique_ptr<State> state_;
};

} // namespace cactuswick::transport

#pragma once

#include <cstddef>
#include <functional>
#include <memory>

#include <absl/status/status.h>

#include "cactuswick/transport/connection/HttpExchange.h"
#include "cactuswick/transport/process/Address.h"

struct evhttp;

namespace cactuswick::transport {

/// What one connection may send, and how long it may stay silent.
struct HttpLimits
{
  size_t maxHeaderBytes_ = size_t{ 16 } << 10;
  size_t maxBodyBytes_ = size_t{ 1 } << 20;
  /// Silence after which a connection is closed.
  int64_t idleTimeoutMs_ = 60'000;

  bool operator==(const HttpLimits&) const = default;
};

struct HttpServerOptions
{
  HttpLimits limits_;
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
  /// Takes limits for connections that are accepted from now on.
  void SetLimits(const HttpLimits& aLimits);
  /// Accepts no further connections; open ones go on.
  void StopListening();

private:
  void AcceptWithinLimit();

  struct State;
  std::unique_ptr<State> state_;
};

} // namespace cactuswick::transport

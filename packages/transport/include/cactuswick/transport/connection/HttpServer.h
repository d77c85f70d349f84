#pragma once

#include <cstddef>
#include <functional>
#include <memory>

#include <absl/status/status.h>

#include "cactuswick/transport/connection/HttpExchange.h"
#include "cactuswick/transport/connection/HttpLimits.h"
#include "cactuswick/transport/connection/RequestHead.h"
#include "cactuswick/transport/process/Address.h"

struct evhttp;

namespace cactuswick::transport {

struct HttpServerOptions
{
  HttpLimits limits_;
  /// While the process has more open file descriptors than this, the server
  /// accepts no connections and clients wait in the listen backlog, and stalled
  /// connections are closed; 0 for no limit.
  size_t maxDescriptors_ = 0;
  /// Decides on a request by its head, before its body is read; null reads
  /// every body.
  std::function<HeadDecision(IntakeId, const RequestHead&)> onHead_;
  /// Called once after @c onHead_, when the body has been read, just before
  /// @c onRequest_, or when the connection has ended; may be null.
  std::function<void(IntakeId)> onIntakeEnd_;
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

  /// Binds exclusively; returns kIo when the address can't be bound, as when
  /// another process uses it.
  absl::Status Listen(const Address& aAddress);
  /// Sets the limits of connections that are accepted from now on; open ones
  /// keep theirs.
  void SetLimits(const HttpLimits& aLimits);
  /// Reads the body of a request that @c onHead_ held.
  void ReadBody(IntakeId aId);
  /// Sends a response to a request whose body is not complete, discards the
  /// rest of the body and closes the connection. Does nothing if the body is
  /// complete.
  void Refuse(IntakeId aId, const EarlyResponse& aResponse);
  /// Stops accepting connections; open ones are still served.
  void StopListening();
  /// Accepts no more connections and reads nothing more from open ones.
  /// Requests that have been read can still be replied to.
  void StopReading();

private:
  void UpdateAccepting();

  struct State;
  std::unique_ptr<State> state_;
};

} // namespace cactuswick::transport

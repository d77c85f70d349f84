#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <absl/status/status.h>

#include "cactuswick/transport/connection/Headers.h"
#include "cactuswick/transport/connection/RequestBody.h"
#include "cactuswick/transport/connection/HttpPool.h"
#include "cactuswick/transport/connection/TunnelOutcome.h"
#include "cactuswick/transport/process/Address.h"
#include "cactuswick/transport/process/EventLoop.h"

namespace cactuswick::transport {

/// Parameters and callbacks of one HTTP request.
struct HttpCallOptions
{
  Address address_;
  /// Router that connects to the address in place of this one, by a tunnel for
  /// this call only; nullopt connects directly.
  std::optional<Address> tunnel_;
  std::string method_ = "POST";
  std::string path_;
  Headers headers_;
  RequestBody body_;
  int64_t connectTimeoutMs_ = 1'000;
  /// Longest wait for the tunnel's reply once the request is being sent to it.
  int64_t tunnelReplyTimeoutMs_ = 2'000;
  /// Longest wait for the response head once the request is being sent.
  int64_t firstByteTimeoutMs_ = 30'000;
  /// Longest time without data after the response head.
  int64_t progressTimeoutMs_ = 10'000;
  size_t maxBodyBytes_ = size_t{ 64 } << 20;
  /// Pool to take the connection from and to return it to; null opens a
  /// connection for this call only.
  HttpPool* pool_ = nullptr;
  /// Opens a new connection even if the pool has one.
  bool opensNewConnection_ = false;
  /// Accepts a response that has neither a length nor chunks and ends when the
  /// server closes the connection.
  bool acceptsUnframed_ = false;

  /// Returns whether the response that begins belongs to another request; then
  /// it is skipped, and the next one on the connection is read. Called on
  /// connections from a pool; null takes the first response.
  std::function<bool(int aStatus, const Headers& aHeaders)> skips_;
  /// Called when a new connection, to the address or to the tunnel's router, is
  /// established, after @p aElapsedMs.
  std::function<void(int64_t aElapsedMs)> onConnected_;
  std::function<void(int aStatus, const Headers& aHeaders)> onHeaders_;
  std::function<void(std::string_view aData)> onData_;
  /// Called once. OK if the response is complete by its framing, or by the
  /// closed connection if acceptsUnframed_ is set.
  std::function<void(absl::Status aStatus)> onDone_;
};

/// One HTTP request, on a new connection or one from a pool.
///
/// Destroying it cancels the request and closes the connection; no callback
/// runs afterwards. If nothing was sent until then, nothing is.
class HttpCall
{
public:
  HttpCall(EventLoop& aLoop, HttpCallOptions aOptions);
  HttpCall(const HttpCall&) = delete;
  HttpCall& operator=(const HttpCall&) = delete;
  ~HttpCall();

  /// Returns false as long as no byte of the request can have reached the
  /// server, so that a retry is safe.
  bool WasDispatched() const;

  /// Returns the tunnel's reply, if it has come; until then the request may
  /// have been passed on.
  std::optional<TunnelOutcome> TunnelReply() const;

  /// Returns whether the response has neither a length nor chunks, so that only
  /// the closed connection ends it.
  bool EndsByClose() const;

  /// Returns what part of the response breaks the grammar of HTTP, and how;
  /// empty if none does.
  std::string Malformation() const;

  /// Pauses or resumes reading the response, for backpressure.
  void SetReading(bool aReading);

private:
  struct State;
  State* state_;
};

} // namespace cactuswick::transport

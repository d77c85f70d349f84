#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <absl/status/status.h>

#include "cactuswick/transport/connection/Headers.h"
#include "cactuswick/transport/connection/HttpPool.h"
#include "cactuswick/transport/process/Address.h"
#include "cactuswick/transport/process/EventLoop.h"

namespace cactuswick::transport {

struct HttpCallOptions
{
  Address address_;
  std::string method_ = "POST";
  std::string path_;
  Headers headers_;
  std::string body_;
  int64_t connectTimeoutMs_ = 1'000;
  /// Longest wait for the first byte of the answer.
  int64_t firstByteTimeoutMs_ = 30'000;
  /// Longest silence inside the answer.
  int64_t progressTimeoutMs_ = 10'000;
  size_t maxBodyBytes_ = size_t{ 64 } << 20;
  /// Connections to use and to give back; null for one of the call's own.
  HttpPool* pool_ = nullptr;
  /// Takes an answer without a length that ends with its connection.
  bool acceptsUnframed_ = false;

  std::function<void(int aStatus, const Headers& aHeaders)> onHeaders_;
  std::function<void(std::string_view aData)> onData_;
  /// Called once. OK only when the framing says that the answer is whole.
  std::function<void(absl::Status aStatus)> onDone_;
};

/// One HTTP request, on a connection of its own or one of a pool.
///
/// Destroying it cancels the request and closes the connection; no hook is
/// called afterwards.
class HttpCall
{
public:
  HttpCall(EventLoop& aLoop, HttpCallOptions aOptions);
  HttpCall(const HttpCall&) = delete;
  HttpCall& operator=(const HttpCall&) = delete;
  ~HttpCall();

  /// False while not one byte can have reached the endpoint.
  bool WasDispatched() const;

  /// The head of the answer says neither a length nor chunks.
  bool EndsByClose() const;

  /// Stops or resumes reading the answer, while its taker is slow.
  void SetReading(bool aReading);

private:
  struct State;
  State* state_;
};

} // namespace cactuswick::transport

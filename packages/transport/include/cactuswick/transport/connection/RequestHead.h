#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "cactuswick/transport/connection/Headers.h"

namespace cactuswick::transport {

/// Identifies a request of a server from its head to the end of its body.
using IntakeId = int64_t;

/// Head of a request whose body has not been read yet.
struct RequestHead
{
  std::string method_;
  /// Path and query as they were sent.
  std::string uri_;
  Headers headers_;
  /// Announced length in bytes; nullopt for a chunked body.
  std::optional<size_t> bodyBytes_;

  bool operator==(const RequestHead&) const = default;
};

/// Response to a request that is refused before its body has been read.
struct EarlyResponse
{
  int status_ = 503;
  Headers headers_;
  std::string body_;

  bool operator==(const EarlyResponse&) const = default;
};

/// What a server does with a request once its head has been read.
struct HeadDecision
{
  enum class Action
  {
    kReadBody,
    /// Reads the body only once HttpServer::ReadBody is called.
    kHold,
    /// Sends @c response_ at once, discards the body, then closes.
    kRefuse,
  };

  Action action_ = Action::kReadBody;
  EarlyResponse response_;

  bool operator==(const HeadDecision&) const = default;
};

} // namespace cactuswick::transport

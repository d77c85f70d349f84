#pragma once

#include <functional>
#include <memory>
#include <string>

#include <absl/status/status.h>

#include "cactuswick/model/version/Announcement.h"
#include "cactuswick/transport/connection/HttpExchange.h"

namespace cactuswick::router {

/// Checks that all fields of an announcement are within their limits.
absl::Status
ValidateAnnouncement(const model::Announcement& aAnnouncement);

/// HTTP API through which endpoints announce themselves.
class EndpointApi
{
public:
  /// @p aKeySha256 is the SHA-256 of the endpoints' key; if empty, no key is
  /// required.
  EndpointApi(std::string aKeySha256,
              std::function<void(const model::Announcement&)> aOnAnnounced);

  /// Handles a request whose path belongs to this API; returns any other
  /// request.
  std::unique_ptr<transport::HttpExchange> Handle(
    std::unique_ptr<transport::HttpExchange> aExchange);

private:
  std::string keySha256_;
  std::function<void(const model::Announcement&)> onAnnounced_;
};

} // namespace cactuswick::router

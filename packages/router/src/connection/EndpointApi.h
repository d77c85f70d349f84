#pragma once

#include <functional>
#include <memory>
#include <string>

#include <absl/status/status.h>

#include "cactuswick/model/version/Announcement.h"
#include "cactuswick/transport/connection/HttpExchange.h"

namespace cactuswick::router {

/// Checks an announcement's fields.
absl::Status
ValidateAnnouncement(const model::Announcement& aAnnouncement);

/// What endpoints can tell a router.
class EndpointApi
{
public:
  /// @p aKeySha256 is the hash of the endpoints' key; empty asks for none.
  EndpointApi(std::string aKeySha256,
              std::function<void(const model::Announcement&)> aOnAnnounced);

  /// Takes a request under the endpoints' path; gives it back otherwise.
  std::unique_ptr<transport::HttpExchange> Handle(
    std::unique_ptr<transport::HttpExchange> aExchange);

private:
  std::string keySha256_;
  std::function<void(const model::Announcement&)> onAnnounced_;
};

} // namespace cactuswick::router

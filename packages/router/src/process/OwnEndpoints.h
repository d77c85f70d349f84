#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cactuswick/transport/connection/PeerMessage.h"
#include "connection/EndpointApi.h"
#include "process/Dispatcher.h"
#include "process/HealthChecker.h"
#include "process/OrderRunner.h"

namespace cactuswick::router {

struct OwnEndpointsOptions
{
  transport::EventLoop& loop_;
  Dispatcher& dispatcher_;
  /// SHA-256 of the endpoints' key; if empty, no key is required.
  std::string keySha256_;
  /// Called with an announcement to be broadcast to the other routers at once.
  std::function<void(const transport::RelayedAnnouncement&)> onAnnouncement_;
};

/// Endpoints that announce themselves to this router. It reports them to the
/// other routers, checks their health and sends them their orders.
class OwnEndpoints
{
public:
  explicit OwnEndpoints(OwnEndpointsOptions aOptions);

  /// Starts health checks and orders.
  void Start(ControlClient& aControl, const ConfigView& aConfig);

  /// Handles a request whose path belongs to the endpoint API; returns any
  /// other request.
  std::unique_ptr<transport::HttpExchange> Handle(
    std::unique_ptr<transport::HttpExchange> aExchange);

  /// Returns the endpoints whose lease at this router has not expired, for the
  /// other routers.
  std::vector<transport::RelayedAnnouncement> RelayedAnnouncements();

private:
  void OnAnnounced(const model::Announcement& aAnnouncement);
  std::vector<model::Announcement> Announcements();

  OwnEndpointsOptions options_;
  EndpointApi api_;
  /// Time of the last announcement received directly, by endpoint.
  std::map<std::string, int64_t> lastAnnouncedMs_;
  std::unique_ptr<OrderRunner> orders_;
  std::unique_ptr<HealthChecker> health_;
};

} // namespace cactuswick::router

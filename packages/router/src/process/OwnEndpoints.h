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
  /// Hash of the endpoints' key; empty asks for none.
  std::string keySha256_;
  /// Other routers should hear this at once.
  std::function<void(const transport::RelayedAnnouncement&)> onNews_;
};

/// Endpoints that announce themselves to this router: it vouches for them to
/// the other routers, checks their health and gives them their orders.
class OwnEndpoints
{
public:
  explicit OwnEndpoints(OwnEndpointsOptions aOptions);

  /// Starts to check and to order them.
  void Start(ControlClient& aControl, const ConfigView& aConfig);

  /// Takes a request under the endpoints' path; gives it back otherwise.
  std::unique_ptr<transport::HttpExchange> Handle(
    std::unique_ptr<transport::HttpExchange> aExchange);

  /// Those whose lease has not run out here, for the other routers.
  std::vector<transport::RelayedAnnouncement> News();

private:
  void OnAnnounced(const model::Announcement& aAnnouncement);
  std::vector<model::Announcement> Announcements();

  OwnEndpointsOptions options_;
  EndpointApi api_;
  /// When each was last heard by this router itself.
  std::map<std::string, int64_t> heardMs_;
  std::unique_ptr<OrderRunner> orders_;
  std::unique_ptr<HealthChecker> health_;
};

} // namespace cactuswick::router

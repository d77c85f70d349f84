#include "process/OwnEndpoints.h"

#include <utility>

#include "cactuswick/model/process/Text.h"
#include "cactuswick/telemetry/process/Log.h"

namespace cactuswick::router {

using telemetry::Level;
using telemetry::Log;
using telemetry::Part;
using transport::EventLoop;

OwnEndpoints::OwnEndpoints(OwnEndpointsOptions aOptions)
  : options_(std::move(aOptions))
  , api_(options_.keySha256_, [this](const model::Announcement& aAnnouncement) {
    OnAnnounced(aAnnouncement);
  })
{
}

void
OwnEndpoints::Start(ControlClient& aControl, const ConfigView& aConfig)
{
  const auto endpoints = [this] { return Announcements(); };
  orders_ = std::make_unique<OrderRunner>(
    options_.loop_,
    OrderRunnerOptions{
      .control_ = aControl, .config_ = aConfig, .endpoints_ = endpoints });
  health_ = std::make_unique<HealthChecker>(
    options_.loop_,
    HealthCheckerOptions{ .endpoints_ = endpoints,
                          .onUnhealthy_ = [this](const std::string& aEndpoint) {
                            options_.dispatcher_.Endpoints().OnUnhealthy(
                              aEndpoint, EventLoop::NowMs());
                          } });
}

std::unique_ptr<transport::HttpExchange>
OwnEndpoints::Handle(std::unique_ptr<transport::HttpExchange> aExchange)
{
  return api_.Handle(std::move(aExchange));
}

void
OwnEndpoints::OnAnnounced(const model::Announcement& aAnnouncement)
{
  lastAnnouncedMs_[aAnnouncement.endpoint_] = EventLoop::NowMs();
  if (options_.dispatcher_.ApplyAnnouncement(aAnnouncement, 0)) {
    Log(Part::kEndpoint,
        Level::kInfo,
        model::Concat(aAnnouncement.endpoint_,
                      aAnnouncement.leaving_ ? " is leaving"
                                             : " announced itself"));
    options_.onAnnouncement_({ aAnnouncement, 0 });
  }
}

std::vector<transport::RelayedAnnouncement>
OwnEndpoints::RelayedAnnouncements()
{
  const int64_t now = EventLoop::NowMs();
  std::vector<transport::RelayedAnnouncement> relayed;
  std::erase_if(lastAnnouncedMs_, [&](const auto& aPair) {
    const auto* known = options_.dispatcher_.Endpoints().Find(aPair.first);
    if (known != nullptr) {
      relayed.push_back({ *known, now - aPair.second });
    }
    return known == nullptr || now - aPair.second > known->leaseMs_;
  });
  return relayed;
}

std::vector<model::Announcement>
OwnEndpoints::Announcements()
{
  std::vector<model::Announcement> announcements;
  for (const auto& relayed : RelayedAnnouncements()) {
    announcements.push_back(relayed.announcement_);
  }
  return announcements;
}

} // namespace cactuswick::router

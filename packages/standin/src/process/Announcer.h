#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "cactuswick/model/version/Announcement.h"
#include "cactuswick/transport/connection/HttpCall.h"

/// Test programs that stand in for the external systems around cactuswick.
namespace cactuswick::standin {

/// Settings of an announcer.
struct AnnouncerOptions
{
  std::vector<transport::Address> routers_;
  model::Announcement announcement_;
  /// Endpoint key; empty if the routers require none.
  std::string key_;
  /// Returns the number of requests in flight, for the announcement.
  std::function<int64_t()> inFlight_;
};

/// Announces an endpoint to one router periodically; fails over to the next
/// router on an error.
class Announcer
{
public:
  Announcer(transport::EventLoop& aLoop, AnnouncerOptions aOptions);

  /// Announces that the endpoint is leaving; calls @p aOnAcknowledged once a
  /// router has acknowledged it.
  void Leave(std::function<void()> aOnAcknowledged);
  /// Stops announcing without a leave announcement, as after a crash.
  void StopWithoutLeaving();

private:
  void Announce();

  transport::EventLoop& loop_;
  AnnouncerOptions options_;
  size_t router_ = 0;
  std::function<void()> onLeaveAcknowledged_;
  std::unique_ptr<transport::HttpCall> call_;
  transport::Timer timer_;
};

} // namespace cactuswick::standin

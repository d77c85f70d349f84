#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "cactuswick/model/version/Announcement.h"
#include "cactuswick/transport/connection/HttpCall.h"

/// Small programs that stand in for the systems around cactuswick.
namespace cactuswick::standin {

struct AnnouncerOptions
{
  std::vector<transport::Address> routers_;
  model::Announcement announcement_;
  /// The endpoints' key, if routers ask for one.
  std::string key_;
  std::function<int64_t()> inFlight_;
};

/// Announces an endpoint to one router, and to the next when it fails.
class Announcer
{
public:
  Announcer(transport::EventLoop& aLoop, AnnouncerOptions aOptions);

  /// Says that the endpoint is leaving; @p aOnSaid is called afterwards.
  void Leave(std::function<void()> aOnSaid);
  /// Stops announcing without a word.
  void GoSilent();

private:
  void Announce();

  transport::EventLoop& loop_;
  AnnouncerOptions options_;
  size_t router_ = 0;
  std::function<void()> onSaid_;
  std::unique_ptr<transport::HttpCall> call_;
  transport::Timer timer_;
};

} // namespace cactuswick::standin

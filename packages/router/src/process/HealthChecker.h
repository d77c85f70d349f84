#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cactuswick/model/version/Announcement.h"
#include "cactuswick/transport/connection/HttpCall.h"

namespace cactuswick::router {

struct HealthCheckerOptions
{
  /// Endpoints that announce themselves to this router.
  std::function<std::vector<model::Announcement>()> endpoints_;
  /// An endpoint has failed several checks in a row.
  std::function<void(const std::string& aEndpoint)> onUnhealthy_;
};

/// Asks endpoints for their health, so that one that announces itself but does
/// not answer is noticed before requests are sent to it.
class HealthChecker
{
public:
  HealthChecker(transport::EventLoop& aLoop, HealthCheckerOptions aOptions);

private:
  struct Check
  {
    int64_t failures_ = 0;
    int httpStatus_ = 0;
    std::unique_ptr<transport::HttpCall> call_;
  };

  void OnTick();
  void Start(const model::Announcement& aEndpoint);
  void OnDone(const std::string& aEndpoint, const absl::Status& aStatus);

  transport::EventLoop& loop_;
  HealthCheckerOptions options_;
  std::map<std::string, Check> checks_;
  transport::Timer tick_;
};

} // namespace cactuswick::router

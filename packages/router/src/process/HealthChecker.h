#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "process/EndpointCalls.h"

namespace cactuswick::router {

struct HealthCheckerOptions
{
  /// Endpoints that announce themselves to this router.
  std::function<std::vector<model::Announcement>()> endpoints_;
  /// Called when an endpoint has failed several consecutive checks.
  std::function<void(const std::string& aEndpoint)> onUnhealthy_;
};

/// Polls the health of endpoints, so that one that announces itself but does
/// not answer is detected before requests are sent to it.
class HealthChecker
{
public:
  HealthChecker(transport::EventLoop& aLoop, HealthCheckerOptions aOptions);

private:
  void OnTick();
  void OnDone(const std::string& aEndpoint,
              const absl::Status& aStatus,
              int aHttpStatus);

  HealthCheckerOptions options_;
  EndpointCalls calls_;
  /// Consecutive failed checks, by endpoint.
  std::map<std::string, int64_t> failures_;
  transport::Timer tick_;
};

} // namespace cactuswick::router

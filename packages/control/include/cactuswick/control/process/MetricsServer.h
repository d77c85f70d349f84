#pragma once

#include <functional>
#include <memory>
#include <string>

#include <absl/status/status.h>

#include "cactuswick/transport/connection/HttpServer.h"

namespace cactuswick::control {

/// Serves a task's metrics at GET /metrics on the task's own loop.
class MetricsServer
{
public:
  MetricsServer(transport::EventLoop& aLoop,
                std::function<std::string()> aExpose);

  absl::Status Listen(const transport::Address& aAddress);

private:
  transport::HttpServer server_;
};

} // namespace cactuswick::control

#include "process/HealthChecker.h"

#include <utility>

#include "cactuswick/model/process/Text.h"
#include "cactuswick/telemetry/process/Log.h"
#include "connection/HttpErrors.h"

namespace cactuswick::router {

namespace {

using telemetry::Level;
using telemetry::Log;
using telemetry::Part;

constexpr int64_t kIntervalMs = 1'000;
constexpr int64_t kTimeoutMs = 800;
constexpr int64_t kUnhealthyAfterFailures = 2;

} // namespace

HealthChecker::HealthChecker(transport::EventLoop& aLoop,
                             HealthCheckerOptions aOptions)
  : options_(std::move(aOptions))
  , calls_(aLoop,
           { .timeoutMs_ = kTimeoutMs,
             .onDone_ =
               [this](const std::string& aEndpoint,
                      const absl::Status& aStatus,
                      int aHttpStatus) {
                 OnDone(aEndpoint, aStatus, aHttpStatus);
               } })
  , tick_(aLoop, [this] { OnTick(); })
{
  tick_.StartRepeating(kIntervalMs);
}

void
HealthChecker::OnTick()
{
  std::map<std::string, int64_t> current;
  for (const auto& endpoint : options_.endpoints_()) {
    current[endpoint.endpoint_] = failures_[endpoint.endpoint_];
    if (endpoint.leaving_) {
      continue;
    }
    const absl::Status started =
      calls_.Start(endpoint, { .method_ = "GET", .path_ = "/health" });
    if (!started.ok()) {
      Log(Part::kEndpoint,
          Level::kWarning,
          model::Concat("cannot check health of endpoint=",
                        endpoint.endpoint_,
                        ": ",
                        std::string(started.message())));
    }
  }
  failures_ = std::move(current);
}

void
HealthChecker::OnDone(const std::string& aEndpoint,
                      const absl::Status& aStatus,
                      int aHttpStatus)
{
  const auto failures = failures_.find(aEndpoint);
  if (failures == failures_.end()) {
    return;
  }
  const bool healthy = aStatus.ok() && aHttpStatus == kHttpOk;
  failures->second = healthy ? 0 : failures->second + 1;
  if (failures->second >= kUnhealthyAfterFailures) {
    options_.onUnhealthy_(aEndpoint);
  }
}

} // namespace cactuswick::router

#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>

#include "cactuswick/telemetry/process/Metrics.h"
#include "cactuswick/transport/process/Traffic.h"

namespace cactuswick::router {

/// Says once a second which remotes the bytes of a loop came from and went
/// to, so that it can be seen what fills a link.
class TrafficLog
{
public:
  TrafficLog(const transport::Traffic& aTraffic, telemetry::Metrics& aMetrics);

  /// The line of the last second, if one is due and it carried enough.
  std::optional<std::string> OnTick(int64_t aNowMs);

private:
  const transport::Traffic& traffic_;
  telemetry::Metrics& metrics_;
  std::array<transport::TrafficCount, transport::kRemotes.size()> reported_{};
  int64_t lastMs_ = 0;
};

} // namespace cactuswick::router

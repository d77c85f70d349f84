#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>

#include "cactuswick/telemetry/process/Metrics.h"
#include "cactuswick/transport/process/Traffic.h"

namespace cactuswick::router {

/// Summarises once a second the bytes that a loop exchanged with each kind of
/// remote, to show what saturates a link.
class TrafficLog
{
public:
  TrafficLog(const transport::Traffic& aTraffic, telemetry::Metrics& aMetrics);

  /// Returns the log line of the last second, if one is due and enough bytes
  /// were carried.
  std::optional<std::string> OnTick(int64_t aNowMs);

private:
  const transport::Traffic& traffic_;
  telemetry::Metrics& metrics_;
  std::array<transport::TrafficCount, transport::kRemotes.size()> reported_{};
  int64_t lastMs_ = 0;
};

} // namespace cactuswick::router

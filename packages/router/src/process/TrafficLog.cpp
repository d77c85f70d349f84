#include "process/TrafficLog.h"

#include <utility>

#include "cactuswick/model/process/Text.h"

namespace cactuswick::router {

namespace {

using model::Concat;
using telemetry::Counter;

constexpr int64_t kIntervalMs = 1'000;
/// Seconds with less traffic than this are not logged.
constexpr int64_t kMinLoggedBytes = int64_t{ 256 } << 10;

} // namespace

TrafficLog::TrafficLog(const transport::Traffic& aTraffic,
                       telemetry::Metrics& aMetrics)
  : traffic_(aTraffic)
  , metrics_(aMetrics)
{
}

std::optional<std::string>
TrafficLog::OnTick(int64_t aNowMs)
{
  if (aNowMs - lastMs_ < kIntervalMs) {
    return std::nullopt;
  }
  std::string line =
    Concat("traffic over_ms=", aNowMs - std::exchange(lastMs_, aNowMs));
  int64_t sum = 0;
  for (const auto remote : transport::kRemotes) {
    const auto& now = traffic_.CountOf(remote);
    auto& last = reported_.at(static_cast<size_t>(remote));
    const int64_t read = now.readBytes_ - last.readBytes_;
    const int64_t written = now.writtenBytes_ - last.writtenBytes_;
    const std::string name = NameOf(remote);
    metrics_.Count(Counter::kTrafficBytes, read, name + "_read");
    metrics_.Count(Counter::kTrafficBytes, written, name + "_written");
    model::AppendTo(
      line, " ", name, "_read=", read, " ", name, "_written=", written);
    sum += read + written;
    last = now;
  }
  return sum < kMinLoggedBytes ? std::nullopt : std::optional(std::move(line));
}

} // namespace cactuswick::router

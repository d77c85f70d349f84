#include "process/TrafficLog.h"

#include <gtest/gtest.h>

namespace cactuswick::router {
namespace {

using transport::Remote;

constexpr size_t kManyBytes = size_t{ 1 } << 20;

TEST(TrafficLog, LogsTrafficOncePerSecond)
{
  transport::Traffic traffic;
  telemetry::Metrics metrics;
  TrafficLog log(traffic, metrics);
  log.OnTick(10'000);
  traffic.AddRead(Remote::kCaller, kManyBytes);
  traffic.AddWritten(Remote::kEndpoint, 7);
  EXPECT_EQ(log.OnTick(10'999), std::nullopt);
  EXPECT_EQ(log.OnTick(11'050),
            "traffic over_ms=1050 callers_read=1048576 callers_written=0"
            " endpoints_read=0 endpoints_written=7"
            " peers_read=0 peers_written=0");
  EXPECT_EQ(metrics.Value(telemetry::Counter::kTrafficBytes, "callers_read"),
            static_cast<int64_t>(kManyBytes));
}

TEST(TrafficLog, SkipsSecondsWithLittleTraffic)
{
  transport::Traffic traffic;
  telemetry::Metrics metrics;
  TrafficLog log(traffic, metrics);
  traffic.AddRead(Remote::kPeer, 100);
  EXPECT_EQ(log.OnTick(10'000), std::nullopt);
}

} // namespace
} // namespace cactuswick::router

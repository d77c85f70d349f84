#include <gtest/gtest.h>

#include "process/LoopMonitor.h"

namespace cactuswick::control {
namespace {

TEST(LoopMonitor, ReportsActivityDuringDelay)
{
  LoopMonitor monitor({ .intervalMs_ = 20, .thresholdMs_ = 100 });
  EXPECT_EQ(monitor.OnTick(1'000, 5), std::nullopt);
  EXPECT_EQ(monitor.OnTick(1'030, 6), std::nullopt);
  monitor.OnMessageHandled("subscribe");
  monitor.OnMessageHandled("subscribe");
  monitor.OnSent(300);
  const auto report = monitor.OnTick(1'530, 36);
  ASSERT_TRUE(report.has_value());
  EXPECT_EQ(Describe(*report),
            "stood_ms=480 processor_ms=30 sends=1 bytes=300 suppressed=0 "
            "subscribe=2");
}

TEST(LoopMonitor, ReportsAtMostOncePerSecond)
{
  LoopMonitor monitor({ .intervalMs_ = 20, .thresholdMs_ = 100 });
  monitor.OnTick(0, 0);
  EXPECT_TRUE(monitor.OnTick(200, 0).has_value());
  EXPECT_FALSE(monitor.OnTick(400, 0).has_value());
  const auto report = monitor.OnTick(1'300, 0);
  ASSERT_TRUE(report.has_value());
  EXPECT_EQ(report->suppressed_, 1);
}

} // namespace
} // namespace cactuswick::control

#include <gtest/gtest.h>

#include "process/LoopMonitor.h"

namespace cactuswick::control {
namespace {

TEST(TurnWatch, SaysWithWhatALongTurnStood)
{
  TurnWatch watch({ .intervalMs_ = 20, .longMs_ = 100 });
  EXPECT_EQ(watch.OnTick(1'000, 5), std::nullopt);
  EXPECT_EQ(watch.OnTick(1'030, 6), std::nullopt);
  watch.Handled("subscribe");
  watch.Handled("subscribe");
  watch.Sent(300);
  const auto report = watch.OnTick(1'530, 36);
  ASSERT_TRUE(report.has_value());
  EXPECT_EQ(Describe(*report),
            "stood_ms=480 processor_ms=30 sends=1 bytes=300 unsaid=0 "
            "subscribe=2");
}

TEST(TurnWatch, SaysSoAtMostOnceASecond)
{
  TurnWatch watch({ .intervalMs_ = 20, .longMs_ = 100 });
  watch.OnTick(0, 0);
  EXPECT_TRUE(watch.OnTick(200, 0).has_value());
  EXPECT_FALSE(watch.OnTick(400, 0).has_value());
  const auto report = watch.OnTick(1'300, 0);
  ASSERT_TRUE(report.has_value());
  EXPECT_EQ(report->unsaid_, 1);
}

} // namespace
} // namespace cactuswick::control

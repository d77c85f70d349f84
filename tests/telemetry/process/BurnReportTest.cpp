#include <gtest/gtest.h>

#include "cactuswick/telemetry/process/BurnReport.h"

#include "cactuswick/telemetry/process/Metrics.h"

namespace cactuswick::telemetry {
namespace {

TEST(BurnTable, CountsEventsPerWindow)
{
  BurnTable table;
  table.Add(Objective::kDeadline, "urgent", "w", false, 0);
  table.Add(Objective::kDeadline, "urgent", "w", true, kShortWindowMs * 2);
  const auto rows = table.Rows(kShortWindowMs * 2).rows_;
  ASSERT_EQ(rows.size(), 1U);
  EXPECT_EQ(rows[0].total_, 2);
  EXPECT_EQ(rows[0].shortTotal_, 1);
  EXPECT_EQ(rows[0].shortBad_, 0);
  EXPECT_EQ(rows[0].longBad_, 1);
}

TEST(BurnReport, SumsRoutersAndComputesBurnRates)
{
  BurnTable one;
  BurnTable other;
  for (int i = 0; i < 90; ++i) {
    one.Add(Objective::kFirstToken, "urgent", "w", true, 0);
  }
  for (int i = 0; i < 10; ++i) {
    other.Add(Objective::kFirstToken, "urgent", "w", false, 0);
  }
  const auto report = MakeBurnReport({ one.Rows(0), other.Rows(0) });
  ASSERT_EQ(report.size(), 1U);
  // 1 in 10 missed an objective that allows 1 in 20.
  EXPECT_NEAR(report[0].shortBurnRate_, 2, 1e-9);
  EXPECT_NEAR(report[0].errorBudgetUsed_, 2, 1e-9);
  EXPECT_NE(BurnReportAsTable(report).find("first_token"), std::string::npos);
  EXPECT_NE(BurnReportAsHtml(report).find("<svg"), std::string::npos);
  EXPECT_NE(BurnReportAsJson(report).find("burn_1h"), std::string::npos);
}

TEST(BurnReport, ViolationOfZeroToleranceObjectiveHasUnboundedBurnRate)
{
  BurnTable table;
  table.Add(Objective::kNoOverspend, "", "w", true, 0);
  EXPECT_EQ(MakeBurnReport({ table.Rows(0) })[0].longBurnRate_, 0);
  table.Add(Objective::kNoOverspend, "", "w", false, 0);
  EXPECT_GT(MakeBurnReport({ table.Rows(0) })[0].longBurnRate_, 1'000);
}

TEST(Metrics, ExposesCountersSummariesAndGauges)
{
  Metrics metrics;
  metrics.Count(Counter::kRequests, 2, "urgent");
  metrics.Observe(Summary::kFirstTokenMs, 10, "urgent");
  metrics.Set(Gauge::kLeader, 1);
  const std::string text = metrics.Expose();
  EXPECT_NE(text.find("cactuswick_requests_total{rank=\"urgent\"} 2\n"),
            std::string::npos);
  EXPECT_NE(text.find("cactuswick_first_token_ms_count{rank=\"urgent\"} 1\n"),
            std::string::npos);
  EXPECT_NE(text.find("cactuswick_leader 1\n"), std::string::npos);
}

} // namespace
} // namespace cactuswick::telemetry

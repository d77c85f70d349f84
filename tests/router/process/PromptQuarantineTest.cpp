#include "process/PromptQuarantine.h"

#include <utility>

#include <gtest/gtest.h>

#include "cactuswick/model/process/Text.h"

namespace cactuswick::router {
namespace {

using model::Concat;
using transport::EventLoop;

/// By then the requests of a crash have been collected and reported.
constexpr int64_t kCollectedMs = 60;
/// Well within the 200 ms between two reports.
constexpr int64_t kAtOnceMs = 60;

/// The quarantine of one router, whose control is simulated.
class QuarantineOfRouter
{
public:
  QuarantineOfRouter()
    : quarantine_(loop_,
                  { .metrics_ = metrics_,
                    .send_ =
                      [this](const transport::CrashEvidence& aEvidence) {
                        sent_.push_back(aEvidence);
                      },
                    .submit_ =
                      [this](const ledger::RouterOp& aOp, auto aHook) {
                        submitted_.push_back(aOp);
                        hook_ = std::move(aHook);
                      },
                    .isControlReachable_ = [this] { return isReachable_; },
                    .onQuarantined_ = [this] { ++newlyQuarantined_; } })
  {
  }

  void Run(int64_t aMs)
  {
    transport::Timer stop(loop_, [this] { loop_.Stop(); });
    stop.StartOnce(aMs);
    loop_.Run();
  }

  model::Announcement Endpoint()
  {
    return { .endpoint_ = Concat("e", ++endpoints_), .incarnation_ = 1 };
  }

  void Crash(int64_t aRequest, std::vector<std::string> aParts)
  {
    quarantine_.OnBroken(Endpoint(), { aRequest, std::move(aParts) }, true);
  }

  void Quarantine(std::vector<ledger::QuarantineRecord> aRecords)
  {
    quarantine_.OnConfig({ .revision_ = ++revision_,
                           .timeMs_ = kLogTimeMs,
                           .quarantine_ = std::move(aRecords) });
  }

  bool Refuses(const std::string& aPart) const
  {
    return quarantine_.Find({ 1, { "hot", aPart } }).has_value();
  }

  static constexpr ledger::LogTimeMs kLogTimeMs = 1'000'000;

  EventLoop loop_;
  telemetry::Metrics metrics_;
  std::vector<transport::CrashEvidence> sent_;
  std::vector<ledger::RouterOp> submitted_;
  std::function<void(const ledger::OpResult&)> hook_;
  bool isReachable_ = true;
  int newlyQuarantined_ = 0;
  PromptQuarantine quarantine_;

private:
  int endpoints_ = 0;
  int64_t revision_ = 0;
};

TEST(PromptQuarantine, AllRequestsOfACrashAreInOneReport)
{
  QuarantineOfRouter router;
  const auto endpoint = router.Endpoint();
  for (int64_t request = 1; request <= 3; ++request) {
    router.quarantine_.OnBroken(endpoint, { request, { "p" } }, request == 2);
  }
  router.Run(250);
  ASSERT_EQ(router.sent_.size(), 1U);
  ASSERT_EQ(router.sent_[0].reports_.size(), 1U);
  EXPECT_EQ(router.sent_[0].reports_[0].requests_.size(), 3U);
}

TEST(PromptQuarantine, ReportsAreLimitedIfResponsesBreakAllTheTime)
{
  QuarantineOfRouter router;
  for (int64_t request = 1; request <= 40; ++request) {
    router.Crash(request, { "p" });
    router.Run(20);
  }
  EXPECT_GE(router.sent_.size(), 3U);
  EXPECT_LE(router.sent_.size(), 5U);
}

TEST(PromptQuarantine, EvidenceIsSentAgainToANewLeader)
{
  QuarantineOfRouter router;
  router.Crash(1, { "p" });
  router.Run(250);
  router.quarantine_.OnConnected();
  router.Run(250);
  ASSERT_EQ(router.sent_.size(), 2U);
  EXPECT_EQ(router.sent_[1].reports_[0].endpoint_,
            router.sent_[0].reports_[0].endpoint_);
  EXPECT_GT(router.sent_[1].reports_[0].ageMs_, 0);
}

TEST(PromptQuarantine, RepeatedEvidenceComesWithTheResponsesSince)
{
  QuarantineOfRouter router;
  router.Crash(1, { "hot", "bad" });
  router.Run(250);
  router.quarantine_.OnAnswered({ 2, { "hot" } });
  router.quarantine_.OnConnected();
  router.Run(250);
  ASSERT_EQ(router.sent_.size(), 2U);
  ASSERT_EQ(router.sent_[1].answered_.size(), 1U);
  EXPECT_EQ(router.sent_[1].answered_[0].part_, "hot");
  EXPECT_LT(router.sent_[1].answered_[0].ageMs_,
            router.sent_[1].reports_[0].ageMs_);
}

TEST(PromptQuarantine, EvidenceReachesANewLeaderAtOnce)
{
  QuarantineOfRouter router;
  router.quarantine_.OnAnswered({ 1, { "topic" } });
  router.Crash(2, { "topic", "bad" });
  router.Run(kCollectedMs);
  ASSERT_EQ(router.sent_.size(), 1U);
  router.quarantine_.OnConnected();
  router.Run(kAtOnceMs);
  ASSERT_EQ(router.sent_.size(), 2U);
  EXPECT_EQ(router.sent_[1].reports_.size(), 1U);
  ASSERT_EQ(router.sent_[1].answered_.size(), 1U);
  EXPECT_EQ(router.sent_[1].answered_[0].part_, "topic");
}

TEST(PromptQuarantine, KnownResponsesToWatchedPartsAreReportedAtOnce)
{
  QuarantineOfRouter router;
  router.quarantine_.OnAnswered({ 1, { "topic" } });
  router.Crash(2, { "topic", "bad" });
  router.Run(kCollectedMs);
  ASSERT_EQ(router.sent_.size(), 1U);
  router.quarantine_.OnWatch({ { "topic", "bad" } });
  router.Run(kAtOnceMs);
  ASSERT_EQ(router.sent_.size(), 2U);
  ASSERT_EQ(router.sent_[1].answered_.size(), 1U);
  EXPECT_EQ(router.sent_[1].answered_[0].part_, "topic");
}

TEST(PromptQuarantine, EndpointThatRespondsAfterABreakIsReportedAlive)
{
  QuarantineOfRouter router;
  const auto endpoint = router.Endpoint();
  router.quarantine_.OnBroken(endpoint, { 1, { "p" } }, true);
  router.Run(250);
  router.quarantine_.OnAlive(endpoint, 1'000);
  router.Run(250);
  EXPECT_EQ(router.sent_.size(), 1U);
  router.quarantine_.OnAlive(endpoint, 10);
  router.Run(250);
  ASSERT_EQ(router.sent_.size(), 2U);
  EXPECT_EQ(router.sent_[1].alive_.front().endpoint_, endpoint.endpoint_);
}

TEST(PromptQuarantine, ResponsesToWatchedPartsAreReported)
{
  QuarantineOfRouter router;
  router.quarantine_.OnAnswered({ 1, { "hot" } });
  router.quarantine_.OnWatch({ { "hot", "bad" } });
  router.Run(250);
  ASSERT_EQ(router.sent_.size(), 1U);
  ASSERT_EQ(router.sent_[0].answered_.size(), 1U);
  EXPECT_EQ(router.sent_[0].answered_[0].part_, "hot");
  router.quarantine_.OnAnswered({ 2, { "bad" } });
  router.Run(250);
  ASSERT_EQ(router.sent_.size(), 2U);
  EXPECT_EQ(router.sent_[1].answered_[0].part_, "bad");
}

TEST(PromptQuarantine, CommittedQuarantineRefusesUntilItIsLifted)
{
  QuarantineOfRouter router;
  router.Quarantine(
    { { .part_ = "bad",
        .sinceMs_ = 5,
        .nextProbeMs_ = QuarantineOfRouter::kLogTimeMs + 20'000 } });
  EXPECT_EQ(router.newlyQuarantined_, 1);
  const auto refusal = router.quarantine_.Find({ 1, { "hot", "bad" } });
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->part_, "bad");
  EXPECT_FALSE(refusal->probeDue_);
  EXPECT_NEAR(static_cast<double>(refusal->retryAfterMs_), 20'000, 500);
  EXPECT_FALSE(router.Refuses("other"));
  router.Quarantine({});
  EXPECT_FALSE(router.Refuses("bad"));
}

TEST(PromptQuarantine, CrashesBeforeTheEndOfAQuarantineAreForgotten)
{
  QuarantineOfRouter router;
  for (int64_t request = 1; request <= 3; ++request) {
    router.Crash(request, { "bad" });
    router.Run(150);
  }
  router.Quarantine({ { .part_ = "bad", .sinceMs_ = 5 } });
  router.Quarantine({});
  EXPECT_FALSE(router.quarantine_.IsSuspect({ 4, { "bad" } }));
  // The leader hears of it when it suspects the part again, and a new leader
  // together with the crashes.
  router.sent_.clear();
  router.quarantine_.OnWatch({ { "bad" } });
  router.Run(250);
  router.quarantine_.OnConnected();
  router.Run(250);
  ASSERT_EQ(router.sent_.size(), 2U);
  for (const auto& evidence : router.sent_) {
    ASSERT_EQ(evidence.answered_.size(), 1U);
    EXPECT_EQ(evidence.answered_.front().part_, "bad");
  }
}

TEST(PromptQuarantine, ProbeIsAskedOfTheLedgerOnceItIsDue)
{
  QuarantineOfRouter router;
  router.Quarantine({ { .part_ = "bad",
                        .sinceMs_ = 5,
                        .nextProbeMs_ = QuarantineOfRouter::kLogTimeMs } });
  EXPECT_TRUE(router.quarantine_.Find({ 1, { "bad" } })->probeDue_);
  bool granted = false;
  router.quarantine_.RequestProbe(
    "bad", 1, [&](bool aGranted) { granted = aGranted; });
  ASSERT_TRUE(std::holds_alternative<ledger::ProbePart>(router.submitted_[0]));
  router.hook_(ledger::ProbeResult{ .granted_ = true });
  EXPECT_TRUE(granted);
}

TEST(PromptQuarantine, UnansweredProbeIsRefusedAndCancelledOneForgotten)
{
  QuarantineOfRouter router;
  int answers = 0;
  const auto count = [&](bool aGranted) {
    EXPECT_FALSE(aGranted);
    ++answers;
  };
  router.quarantine_.RequestProbe("bad", 1, count);
  router.quarantine_.RequestProbe("bad", 2, count);
  router.quarantine_.CancelProbe(2);
  router.Run(1'500);
  EXPECT_EQ(answers, 1);
  router.hook_(ledger::ProbeResult{ .granted_ = true });
  EXPECT_EQ(answers, 1);
}

TEST(PromptQuarantine, ResponseToAQuarantinedPartClearsItOnce)
{
  QuarantineOfRouter router;
  router.Quarantine({ { .part_ = "part", .sinceMs_ = 5 } });
  router.quarantine_.OnAnswered({ 1, { "part" } });
  router.quarantine_.OnAnswered({ 2, { "part" } });
  ASSERT_EQ(router.submitted_.size(), 1U);
  EXPECT_EQ(std::get<ledger::ClearPart>(router.submitted_[0]),
            (ledger::ClearPart{ "part", 5 }));
}

TEST(PromptQuarantine, RouterWithoutControlDecidesOnItsOwnEvidence)
{
  QuarantineOfRouter router;
  for (int64_t request = 1; request <= 3; ++request) {
    router.Crash(request, { "hot", "bad" });
    router.Run(150);
  }
  router.Run(300);
  EXPECT_FALSE(router.Refuses("bad"));
  router.isReachable_ = false;
  router.Crash(4, { "hot", "bad" });
  router.Run(300);
  EXPECT_TRUE(router.Refuses("bad"));
  EXPECT_FALSE(router.Refuses("other"));
}

TEST(PromptQuarantine, OwnQuarantineLastsUntilTheLeaderCanHaveDecided)
{
  constexpr int64_t kDecisionMs = 500;
  constexpr int64_t kEndMs = 2'000;
  QuarantineOfRouter router;
  router.isReachable_ = false;
  for (int64_t request = 1; request <= 3; ++request) {
    router.Crash(request, { "hot", "bad" });
    router.Run(150);
  }
  router.Run(300);
  ASSERT_TRUE(router.Refuses("bad"));
  router.isReachable_ = true;
  router.quarantine_.OnConnected();
  // A change that another part causes does not end it.
  router.Quarantine({ { .part_ = "other", .sinceMs_ = 5 } });
  router.Run(kDecisionMs);
  EXPECT_TRUE(router.Refuses("bad"));
  router.Run(kEndMs);
  EXPECT_FALSE(router.Refuses("bad"));
}

TEST(PromptQuarantine, OneMessageIsBoundedWhateverCallersSend)
{
  constexpr size_t kMaxParts = 1'024;
  QuarantineOfRouter router;
  for (int64_t request = 0; request < 2'000; ++request) {
    std::vector<std::string> parts;
    for (int part = 0; part < 32; ++part) {
      parts.push_back(Concat(request, ".", part));
    }
    router.quarantine_.OnBroken(
      { .endpoint_ = Concat("e", request % 30) }, { request, parts }, true);
  }
  router.Run(250);
  router.quarantine_.OnConnected();
  router.Run(250);
  ASSERT_EQ(router.sent_.size(), 2U);
  for (const auto& evidence : router.sent_) {
    size_t parts = 0;
    for (const auto& report : evidence.reports_) {
      for (const auto& request : report.requests_) {
        parts += request.prompt_.parts_.size();
      }
    }
    EXPECT_GT(parts, 0U);
    EXPECT_LE(parts, kMaxParts);
  }
}

TEST(PromptQuarantine, RequestIsNotRepeatedOnceItsPartWasInOtherCrashes)
{
  QuarantineOfRouter router;
  router.Crash(1, { "hot", "bad" });
  EXPECT_FALSE(router.quarantine_.IsSuspect({ 1, { "hot", "bad" } }));
  router.Run(150);
  router.quarantine_.OnAnswered({ 9, { "hot" } });
  router.Run(10);
  router.Crash(2, { "hot", "bad" });
  EXPECT_TRUE(router.quarantine_.IsSuspect({ 2, { "hot", "bad" } }));
  EXPECT_FALSE(router.quarantine_.IsSuspect({ 3, { "hot", "other" } }));
  // A watched part is suspect unless this router has seen a response to it.
  router.quarantine_.OnWatch({ { "hot", "elsewhere" } });
  EXPECT_TRUE(router.quarantine_.IsSuspect({ 4, { "elsewhere" } }));
  EXPECT_FALSE(router.quarantine_.IsSuspect({ 5, { "hot" } }));
}

} // namespace
} // namespace cactuswick::router

#include "process/PartQuarantine.h"

#include <algorithm>

#include <gtest/gtest.h>

#include "cactuswick/model/process/Text.h"

namespace cactuswick::control {
namespace {

using model::Concat;

constexpr int64_t kTickMs = 20;

/// A leader whose proposals are committed at once, and its routers.
class QuarantineLeader
{
public:
  QuarantineLeader() { StartAnew(); }

  /// Replaces the leader by one that has only the committed state.
  void StartAnew()
  {
    quarantine_ = std::make_unique<PartQuarantine>(PartQuarantineOptions{
      .ledger_ = ledger_,
      .metrics_ = metrics_,
      .propose_ =
        [this](const ledger::Command& aCommand) {
          ledger_.Apply(aCommand, nowMs_);
          ++proposals_;
        },
      .sendToRouters_ =
        [this](const transport::PeerMessage& aMessage) {
          watched_ = std::get<transport::WatchParts>(aMessage).parts_;
        } });
  }

  void Crash(int64_t aRequest, std::vector<std::string> aParts)
  {
    const model::EndpointRun endpoint{ Concat("e", ++endpoints_), 1 };
    evidence_.reports_.push_back(
      { .endpoint_ = endpoint,
        .requests_ = { { { aRequest, std::move(aParts) }, true } } });
    quarantine_->On({ .reports_ = { evidence_.reports_.back() } }, nowMs_);
  }

  void Answer(const std::string& aPart)
  {
    quarantine_->On({ .answered_ = { { aPart, 0 } } }, nowMs_);
  }

  bool IsWatched(const std::string& aPart) const
  {
    return std::find(watched_.begin(), watched_.end(), aPart) != watched_.end();
  }

  bool IsQuarantined(const std::string& aPart) const
  {
    return ledger_.Quarantine().contains(aPart);
  }

  void Pass(int64_t aMs, bool aLeads = true)
  {
    for (const int64_t until = nowMs_ + aMs; nowMs_ < until;
         nowMs_ += kTickMs) {
      quarantine_->OnTick(aLeads, nowMs_);
    }
  }

  ledger::Ledger ledger_;
  telemetry::Metrics metrics_;
  std::unique_ptr<PartQuarantine> quarantine_;
  transport::CrashEvidence evidence_;
  std::vector<std::string> watched_;
  int proposals_ = 0;
  int64_t nowMs_ = 1'000;

private:
  int endpoints_ = 0;
};

TEST(PartQuarantine, ThirdCrashIsFollowedByQuarantineWithinHalfASecond)
{
  QuarantineLeader leader;
  for (int64_t request = 1; request <= 3; ++request) {
    EXPECT_FALSE(leader.IsQuarantined("bad"));
    leader.Crash(request, { "hot", Concat("topic", request), "bad" });
    leader.Pass(300);
    leader.Answer("hot");
  }
  leader.Pass(200);
  EXPECT_TRUE(leader.IsQuarantined("bad"));
  EXPECT_EQ(leader.ledger_.Quarantine().size(), 1U);
  EXPECT_EQ(leader.proposals_, 1);
}

TEST(PartQuarantine, SuspectPartIsWatchedBeforeItIsQuarantined)
{
  QuarantineLeader leader;
  for (int64_t request = 1; request <= 3; ++request) {
    leader.Crash(request, { "hot" });
    leader.nowMs_ += 150;
  }
  leader.Pass(100);
  EXPECT_TRUE(leader.IsWatched("hot"));
  EXPECT_FALSE(leader.IsQuarantined("hot"));
  leader.Answer("hot");
  leader.Pass(1'000);
  EXPECT_FALSE(leader.IsWatched("hot"));
  EXPECT_FALSE(leader.IsQuarantined("hot"));
}

TEST(PartQuarantine, WatchedPartsAreSentAgainForRoutersThatConnectLater)
{
  QuarantineLeader leader;
  leader.Crash(1, { "part" });
  leader.nowMs_ += 150;
  leader.Crash(2, { "part" });
  leader.Pass(200);
  EXPECT_TRUE(leader.IsWatched("part"));
  leader.watched_.clear();
  leader.Pass(1'100);
  EXPECT_TRUE(leader.IsWatched("part"));
}

TEST(PartQuarantine, OnlyTheLeaderDecides)
{
  QuarantineLeader leader;
  for (int64_t request = 1; request <= 4; ++request) {
    leader.Crash(request, { "bad" });
    leader.Pass(300, false);
  }
  EXPECT_FALSE(leader.IsQuarantined("bad"));
  leader.Pass(400);
  EXPECT_TRUE(leader.IsQuarantined("bad"));
}

TEST(PartQuarantine, NewLeaderDecidesOnReportsThatRoutersRepeat)
{
  QuarantineLeader leader;
  for (int64_t request = 1; request <= 3; ++request) {
    leader.Crash(request, { "bad" });
    leader.nowMs_ += 150;
  }
  leader.StartAnew();
  auto repeated = leader.evidence_;
  for (size_t i = 0; i < repeated.reports_.size(); ++i) {
    repeated.reports_[i].ageMs_ = 150 * static_cast<int64_t>(3 - i);
  }
  leader.quarantine_->On(repeated, leader.nowMs_);
  leader.Pass(400);
  EXPECT_TRUE(leader.IsQuarantined("bad"));
}

TEST(PartQuarantine, RoutersThatReconnectAreHeardBeforeAPartIsQuarantined)
{
  QuarantineLeader leader;
  for (int64_t request = 1; request <= 2; ++request) {
    leader.Crash(request, { "hot" });
    leader.Pass(300);
  }
  ASSERT_TRUE(leader.IsWatched("hot"));
  leader.watched_.clear();
  leader.quarantine_->On(
    { .reports_ = { { .endpoint_ = { "other", 1 },
                      .ageMs_ = 1'000,
                      .requests_ = { { { 3, { "hot" } }, true } } } } },
    leader.nowMs_);
  leader.Pass(100);
  EXPECT_TRUE(leader.IsWatched("hot"));
  EXPECT_FALSE(leader.IsQuarantined("hot"));
  leader.Answer("hot");
  leader.Pass(1'000);
  EXPECT_FALSE(leader.IsQuarantined("hot"));
}

TEST(PartQuarantine, CrashesOfAQuarantinedPartIncriminateNoOther)
{
  QuarantineLeader leader;
  leader.ledger_.Apply(ledger::QuarantinePart{ .part_ = "bad" }, 0);
  for (int64_t request = 1; request <= 9; ++request) {
    leader.Crash(request, { "rare", "bad" });
    leader.Pass(300);
  }
  EXPECT_FALSE(leader.IsQuarantined("rare"));
}

} // namespace
} // namespace cactuswick::control

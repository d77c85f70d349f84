#include "process/VersionAdmission.h"

#include <algorithm>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace cactuswick::control {
namespace {

constexpr int64_t kProposalTimeoutMs = 2'000;

class VersionAdmissionTest : public testing::Test
{
protected:
  VersionAdmissionTest()
    : admission_({ .ledger_ = ledger_,
                   .announced_ = [this] { return announced_; },
                   .propose_ =
                     [this](ledger::Command aCommand) {
                       ++proposals_;
                       if (commits_) {
                         ledger_.Apply(aCommand, 1);
                       }
                     } })
  {
  }

  std::vector<std::string> Admitted()
  {
    const auto found = ledger_.Versions().find("s");
    return found == ledger_.Versions().end() ? std::vector<std::string>()
                                             : found->second;
  }

  ledger::Ledger ledger_;
  std::set<model::StreamOrigin> announced_;
  bool commits_ = true;
  int proposals_ = 0;
  VersionAdmission admission_;
};

using Versions = std::vector<std::string>;

TEST_F(VersionAdmissionTest, LeaderAdmitsAVersionAtItsFirstAnnouncement)
{
  announced_ = { { "s", "1" } };
  admission_.OnTick(true, 0);
  EXPECT_EQ(Admitted(), (Versions{ "1" }));
  announced_.insert({ "s", "2" });
  admission_.OnEndpointsChanged();
  admission_.OnTick(true, 1);
  EXPECT_EQ(Admitted(), (Versions{ "1", "2" }));
}

TEST_F(VersionAdmissionTest, FollowerAdmitsNothing)
{
  announced_ = { { "s", "1" } };
  admission_.OnEndpointsChanged();
  admission_.OnTick(false, 0);
  EXPECT_EQ(proposals_, 0);
}

TEST_F(VersionAdmissionTest, ProposalThatIsNotCommittedIsMadeAgain)
{
  commits_ = false;
  announced_ = { { "s", "1" } };
  for (int64_t now = 0; now <= kProposalTimeoutMs; now += 20) {
    admission_.OnTick(true, now);
  }
  EXPECT_EQ(proposals_, 2);
}

TEST_F(VersionAdmissionTest, VersionIsWithdrawnLongAfterItsLastAnnouncement)
{
  constexpr int64_t kKeptMs = VersionAdmission::kVersionKeptMs;
  announced_ = { { "s", "1" }, { "s", "2" } };
  admission_.OnTick(true, 0);
  announced_ = { { "s", "2" } };
  admission_.OnTick(true, kKeptMs - 1);
  EXPECT_EQ(Admitted(), (Versions{ "1", "2" }));
  admission_.OnTick(true, kKeptMs + 5'000);
  EXPECT_EQ(Admitted(), (Versions{ "2" }));
}

TEST_F(VersionAdmissionTest, VersionThatComesBackIsAdmittedAgain)
{
  constexpr int64_t kLate = VersionAdmission::kVersionKeptMs + 5'000;
  announced_ = { { "s", "1" }, { "s", "2" } };
  admission_.OnTick(true, 0);
  announced_ = { { "s", "2" } };
  admission_.OnTick(true, kLate);
  announced_ = { { "s", "1" }, { "s", "2" } };
  admission_.OnEndpointsChanged();
  admission_.OnTick(true, kLate + 1);
  EXPECT_EQ(Admitted(), (Versions{ "2", "1" }));
  admission_.OnTick(true, 2 * kLate);
  EXPECT_EQ(Admitted(), (Versions{ "2", "1" }));
}

TEST_F(VersionAdmissionTest, NewLeaderProposesWhatTheOtherHasNotCommitted)
{
  commits_ = false;
  announced_ = { { "s", "1" } };
  admission_.OnTick(true, 0);
  admission_.OnTick(false, 1);
  commits_ = true;
  admission_.OnTick(true, 2);
  EXPECT_EQ(proposals_, 2);
  EXPECT_EQ(Admitted(), (Versions{ "1" }));
}

TEST_F(VersionAdmissionTest, NewLeaderWaitsTheWholeTimeItself)
{
  constexpr int64_t kKeptMs = VersionAdmission::kVersionKeptMs;
  announced_ = { { "s", "1" } };
  admission_.OnTick(true, 0);
  announced_ = {};
  admission_.OnTick(false, kKeptMs);
  admission_.OnTick(true, kKeptMs + 1);
  admission_.OnTick(true, 2 * kKeptMs);
  EXPECT_EQ(Admitted(), (Versions{ "1" }));
}

TEST_F(VersionAdmissionTest, VersionThatLeftUnadmittedIsNoLongerLookedFor)
{
  constexpr int64_t kStepMs = 20;
  constexpr int64_t kQuietMs = 4'000;
  int looks = 0;
  VersionAdmission admission({ .ledger_ = ledger_,
                               .announced_ =
                                 [&] {
                                   ++looks;
                                   return announced_;
                                 },
                               .propose_ = [](const ledger::Command&) {} });
  announced_ = { { "s", "1" } };
  admission.OnTick(true, 0);
  announced_.clear();
  admission.OnEndpointsChanged();
  admission.OnTick(true, kStepMs);
  looks = 0;
  for (int64_t now = 2 * kStepMs; now <= kQuietMs; now += kStepMs) {
    admission.OnTick(true, now);
  }
  EXPECT_EQ(looks, 0);
}

TEST_F(VersionAdmissionTest, EndpointThatChangesItsVersionShutsNoOtherOut)
{
  constexpr int64_t kPingMs = 1'000;
  constexpr int64_t kPings = 40;
  for (int64_t ping = 0; ping < kPings; ++ping) {
    announced_ = { { "s", std::to_string(ping) } };
    admission_.OnTick(true, ping * kPingMs);
    admission_.OnEndpointsChanged();
  }
  announced_ = { { "s", "new" } };
  admission_.OnTick(true, kPings * kPingMs);
  const auto admitted = Admitted();
  EXPECT_NE(std::find(admitted.begin(), admitted.end(), "new"), admitted.end());
}

} // namespace
} // namespace cactuswick::control

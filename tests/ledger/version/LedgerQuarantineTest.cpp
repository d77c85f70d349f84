#include <gtest/gtest.h>

#include "cactuswick/ledger/version/Ledger.h"
#include "cactuswick/model/process/Text.h"

namespace cactuswick::ledger {
namespace {

constexpr const char* kPart = "bad";
constexpr LogTimeMs kProbeMs = 30'000;

/// A ledger with one router.
class QuarantineRun
{
public:
  QuarantineRun()
  {
    const auto reply =
      Run(RegisterRouter{ .nonce_ = "a-nonce-of-v", .vm_ = "v" });
    router_ = std::get<Registered>(reply).incarnation_;
  }

  Reply Run(const Command& aCommand)
  {
    return ledger_.Apply(aCommand, timeMs_);
  }

  OpResult Op(const RouterOp& aOp)
  {
    const auto reply = Run(RouterBatch{ router_, ++sequence_, { aOp } });
    return std::get<BatchReply>(reply).results_.at(0);
  }

  void Quarantine(const std::string& aPart = kPart)
  {
    Run(QuarantinePart{
      .part_ = aPart, .crashes_ = 3, .probeIntervalMs_ = kProbeMs });
  }

  bool Probe()
  {
    return std::get<ProbeResult>(Op(ProbePart{ kPart })).granted_;
  }

  Ledger ledger_;
  LogTimeMs timeMs_ = 1'000;

private:
  Incarnation router_ = 0;
  int64_t sequence_ = 0;
};

TEST(LedgerQuarantine, RoutersGetTheWholeQuarantineAfterEachChange)
{
  QuarantineRun run;
  const int64_t before = run.ledger_.Revision();
  EXPECT_FALSE(run.ledger_.ConfigSince(before).quarantine_);
  run.Quarantine();
  const auto delta = run.ledger_.ConfigSince(before);
  ASSERT_TRUE(delta.quarantine_);
  EXPECT_EQ(delta.quarantine_->front().part_, kPart);
  EXPECT_EQ(delta.quarantine_->front().nextProbeMs_, run.timeMs_ + kProbeMs);
  // A router that starts later gets it too.
  EXPECT_TRUE(run.ledger_.ConfigSince(0).quarantine_);
  EXPECT_FALSE(run.ledger_.ConfigSince(delta.revision_).quarantine_);
}

TEST(LedgerQuarantine, RepeatedProposalChangesNothing)
{
  QuarantineRun run;
  run.Quarantine();
  const int64_t revision = run.ledger_.Revision();
  run.timeMs_ += 5'000;
  run.Quarantine();
  EXPECT_EQ(run.ledger_.Revision(), revision);
}

TEST(LedgerQuarantine, OneProbeIsGrantedPerIntervalWhichGrows)
{
  QuarantineRun run;
  run.Quarantine();
  EXPECT_FALSE(run.Probe());
  run.timeMs_ += kProbeMs;
  EXPECT_TRUE(run.Probe());
  EXPECT_FALSE(run.Probe());
  run.timeMs_ += kProbeMs;
  EXPECT_FALSE(run.Probe());
  run.timeMs_ += (kProbeBackoffFactor - 1) * kProbeMs;
  EXPECT_TRUE(run.Probe());
  EXPECT_FALSE(run.Probe());
}

TEST(LedgerQuarantine, ResponseEndsOnlyTheQuarantineThatItDisproves)
{
  QuarantineRun run;
  run.Quarantine();
  const LogTimeMs since = run.ledger_.Quarantine().at(kPart).sinceMs_;
  run.Op(ClearPart{ kPart, since - 1 });
  EXPECT_TRUE(run.ledger_.Quarantine().contains(kPart));
  const int64_t revision = run.ledger_.Revision();
  run.Op(ClearPart{ kPart, since });
  EXPECT_TRUE(run.ledger_.Quarantine().empty());
  const auto delta = run.ledger_.ConfigSince(revision);
  ASSERT_TRUE(delta.quarantine_);
  EXPECT_TRUE(delta.quarantine_->empty());
}

TEST(LedgerQuarantine, OperatorLiftsAQuarantineOnce)
{
  QuarantineRun run;
  run.Quarantine();
  EXPECT_TRUE(
    std::holds_alternative<Accepted>(run.Run(LiftQuarantine{ kPart })));
  EXPECT_TRUE(
    std::holds_alternative<Rejected>(run.Run(LiftQuarantine{ kPart })));
  EXPECT_TRUE(run.Probe());
}

TEST(LedgerQuarantine, QuarantineByAnOperatorIsProbedLate)
{
  QuarantineRun run;
  run.Run(QuarantinePart{ .part_ = kPart });
  run.timeMs_ += kMaxProbeIntervalMs - 1;
  EXPECT_FALSE(run.Probe());
  EXPECT_TRUE(std::holds_alternative<Rejected>(run.Run(QuarantinePart{})));
}

TEST(LedgerQuarantine, QuarantineThatNobodyAsksForExpires)
{
  QuarantineRun run;
  run.Quarantine();
  run.timeMs_ += kProbeMs + kQuarantineIdleMs + 1;
  run.Run(ChangeMembers{});
  EXPECT_TRUE(run.ledger_.Quarantine().empty());
}

TEST(LedgerQuarantine, NumberOfQuarantinedPartsIsBounded)
{
  QuarantineRun run;
  for (size_t i = 0; i <= kMaxQuarantinedParts; ++i) {
    ++run.timeMs_;
    run.Quarantine(model::Concat("part", i));
  }
  EXPECT_EQ(run.ledger_.Quarantine().size(), kMaxQuarantinedParts);
  EXPECT_FALSE(run.ledger_.Quarantine().contains("part0"));
}

TEST(LedgerQuarantine, SnapshotKeepsTheQuarantine)
{
  QuarantineRun run;
  run.Quarantine();
  Ledger copy;
  run.ledger_.Save([&](const SnapshotRecord& aRecord) { copy.Load(aRecord); });
  EXPECT_EQ(copy.Quarantine(), run.ledger_.Quarantine());
  EXPECT_EQ(copy.ConfigSince(0).quarantine_,
            run.ledger_.ConfigSince(0).quarantine_);
}

} // namespace
} // namespace cactuswick::ledger

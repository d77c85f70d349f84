#include "process/OperationBatches.h"

#include <gtest/gtest.h>

namespace cactuswick::router {
namespace {

constexpr ledger::Incarnation kSelf = 7;

ledger::RouterOp
AcquireOp(ledger::Tokens aTokens)
{
  return ledger::AcquireGrant{ .budget_ = "b", .minimum_ = aTokens };
}

ledger::BatchReply
ReplyTo(int64_t aSequence, std::vector<ledger::OpResult> aResults)
{
  return { .sequence_ = aSequence, .results_ = std::move(aResults) };
}

TEST(OperationBatches, OperationsQueueWhileBatchIsOpen)
{
  OperationBatches batches(nullptr);
  batches.Add(AcquireOp(1), nullptr);
  EXPECT_FALSE(batches.IsOpen());
  batches.OpenNext(kSelf, 0);
  batches.Add(AcquireOp(2), nullptr);
  EXPECT_TRUE(batches.HasQueued());
  EXPECT_EQ(batches.Open(),
            (ledger::RouterBatch{ .incarnation_ = kSelf,
                                  .sequence_ = 1,
                                  .ops_ = { AcquireOp(1) } }));
  batches.Close(ReplyTo(1, {}), 0);
  batches.OpenNext(kSelf, 0);
  EXPECT_EQ(batches.Open(),
            (ledger::RouterBatch{ .incarnation_ = kSelf,
                                  .sequence_ = 2,
                                  .ops_ = { AcquireOp(2) } }));
}

TEST(OperationBatches, BatchSizeIsBounded)
{
  constexpr size_t kQueued = 1'000;
  constexpr size_t kMaxOps = 512;
  OperationBatches batches(nullptr);
  for (size_t i = 0; i < kQueued; ++i) {
    batches.Add(AcquireOp(1), nullptr);
  }
  batches.OpenNext(kSelf, 0);
  EXPECT_EQ(batches.Open().ops_.size(), kMaxOps);
  batches.Close(ReplyTo(1, {}), 0);
  batches.OpenNext(kSelf, 0);
  EXPECT_EQ(batches.Open().ops_.size(), kQueued - kMaxOps);
  EXPECT_FALSE(batches.HasQueued());
}

TEST(OperationBatches, EachHookGetsItsResultOnce)
{
  std::vector<ledger::OpResult> results;
  const auto hook = [&](const ledger::OpResult& aResult) {
    results.push_back(aResult);
  };
  OperationBatches batches(nullptr);
  batches.Add(AcquireOp(1), hook);
  batches.Add(AcquireOp(2), nullptr);
  batches.Add(AcquireOp(3), hook);
  batches.OpenNext(kSelf, 0);
  const ledger::GrantResult first{ .granted_ = 1 };
  const ledger::GrantResult third{ .granted_ = 3 };
  batches.Close(ReplyTo(1, { first, ledger::GrantResult{}, third }), 0);
  EXPECT_EQ(results, (std::vector<ledger::OpResult>{ first, third }));
  batches.OpenNext(kSelf, 0);
  batches.Close(ReplyTo(2, {}), 0);
  EXPECT_EQ(results.size(), 2U);
}

TEST(OperationBatches, HookMayAddOperation)
{
  OperationBatches batches(nullptr);
  batches.Add(AcquireOp(1), [&](const ledger::OpResult&) {
    EXPECT_FALSE(batches.IsOpen());
    batches.Add(AcquireOp(2), nullptr);
  });
  batches.OpenNext(kSelf, 0);
  batches.Close(ReplyTo(1, { ledger::GrantResult{} }), 0);
  EXPECT_TRUE(batches.HasQueued());
}

TEST(OperationBatches, DetectsReplyToEarlierBatch)
{
  OperationBatches batches(nullptr);
  EXPECT_FALSE(batches.IsAnsweredBy(ReplyTo(1, {})));
  batches.OpenNext(kSelf, 0);
  batches.Close(ReplyTo(1, {}), 0);
  batches.OpenNext(kSelf, 0);
  EXPECT_FALSE(batches.IsAnsweredBy(ReplyTo(1, {})));
  EXPECT_TRUE(batches.IsAnsweredBy(ReplyTo(2, {})));
}

TEST(OperationBatches, TimesReportLastRoundTripAndOpenBatch)
{
  int64_t roundTripMs = 0;
  OperationBatches batches(
    [&](int64_t aRoundTripMs) { roundTripMs = aRoundTripMs; });
  batches.OpenNext(kSelf, 1'000);
  EXPECT_EQ(batches.Times(1'030).openBatchAgeMs_, 30);
  batches.Close(ReplyTo(1, {}), 1'050);
  EXPECT_EQ(roundTripMs, 50);
  EXPECT_EQ(batches.Times(1'080),
            (ControlTimings{ .lastRoundTripMs_ = 50,
                             .lastReplyAgeMs_ = 30,
                             .openBatchAgeMs_ = 0 }));
}

} // namespace
} // namespace cactuswick::router

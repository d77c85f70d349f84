#include "process/OperationBatches.h"

#include <gtest/gtest.h>

namespace cactuswick::router {
namespace {

constexpr ledger::Incarnation kSelf = 7;

ledger::RouterOp
Ask(ledger::Tokens aTokens)
{
  return ledger::AcquireGrant{ .budget_ = "b", .minimum_ = aTokens };
}

ledger::BatchReply
Answer(int64_t aSequence, std::vector<ledger::OpResult> aResults)
{
  return { .sequence_ = aSequence, .results_ = std::move(aResults) };
}

TEST(OperationBatches, OperationsWaitWhileABatchIsOpen)
{
  OperationBatches batches(nullptr);
  batches.Add(Ask(1), nullptr);
  EXPECT_FALSE(batches.IsOpen());
  batches.OpenNext(kSelf, 0);
  batches.Add(Ask(2), nullptr);
  EXPECT_TRUE(batches.HasQueued());
  EXPECT_EQ(batches.Open(),
            (ledger::RouterBatch{
              .incarnation_ = kSelf, .sequence_ = 1, .ops_ = { Ask(1) } }));
  batches.Close(Answer(1, {}), 0);
  batches.OpenNext(kSelf, 0);
  EXPECT_EQ(batches.Open(),
            (ledger::RouterBatch{
              .incarnation_ = kSelf, .sequence_ = 2, .ops_ = { Ask(2) } }));
}

TEST(OperationBatches, ABatchHasABoundedSize)
{
  constexpr size_t kQueued = 1'000;
  constexpr size_t kMost = 512;
  OperationBatches batches(nullptr);
  for (size_t i = 0; i < kQueued; ++i) {
    batches.Add(Ask(1), nullptr);
  }
  batches.OpenNext(kSelf, 0);
  EXPECT_EQ(batches.Open().ops_.size(), kMost);
  batches.Close(Answer(1, {}), 0);
  batches.OpenNext(kSelf, 0);
  EXPECT_EQ(batches.Open().ops_.size(), kQueued - kMost);
  EXPECT_FALSE(batches.HasQueued());
}

TEST(OperationBatches, EachHookGetsItsOwnResultOnce)
{
  std::vector<ledger::OpResult> heard;
  const auto hook = [&](const ledger::OpResult& aResult) {
    heard.push_back(aResult);
  };
  OperationBatches batches(nullptr);
  batches.Add(Ask(1), hook);
  batches.Add(Ask(2), nullptr);
  batches.Add(Ask(3), hook);
  batches.OpenNext(kSelf, 0);
  const ledger::GrantResult first{ .granted_ = 1 };
  const ledger::GrantResult third{ .granted_ = 3 };
  batches.Close(Answer(1, { first, ledger::GrantResult{}, third }), 0);
  EXPECT_EQ(heard, (std::vector<ledger::OpResult>{ first, third }));
  batches.OpenNext(kSelf, 0);
  batches.Close(Answer(2, {}), 0);
  EXPECT_EQ(heard.size(), 2U);
}

TEST(OperationBatches, AHookMayAddAnOperation)
{
  OperationBatches batches(nullptr);
  batches.Add(Ask(1), [&](const ledger::OpResult&) {
    EXPECT_FALSE(batches.IsOpen());
    batches.Add(Ask(2), nullptr);
  });
  batches.OpenNext(kSelf, 0);
  batches.Close(Answer(1, { ledger::GrantResult{} }), 0);
  EXPECT_TRUE(batches.HasQueued());
}

TEST(OperationBatches, AnAnswerToAnEarlierBatchIsTold)
{
  OperationBatches batches(nullptr);
  EXPECT_FALSE(batches.IsAnsweredBy(Answer(1, {})));
  batches.OpenNext(kSelf, 0);
  batches.Close(Answer(1, {}), 0);
  batches.OpenNext(kSelf, 0);
  EXPECT_FALSE(batches.IsAnsweredBy(Answer(1, {})));
  EXPECT_TRUE(batches.IsAnsweredBy(Answer(2, {})));
}

TEST(OperationBatches, TimesTellOfTheLastTripAndTheOpenBatch)
{
  int64_t heardTripMs = 0;
  OperationBatches batches(
    [&](int64_t aRoundTripMs) { heardTripMs = aRoundTripMs; });
  batches.OpenNext(kSelf, 1'000);
  EXPECT_EQ(batches.Times(1'030).openBatchAgeMs_, 30);
  batches.Close(Answer(1, {}), 1'050);
  EXPECT_EQ(heardTripMs, 50);
  EXPECT_EQ(batches.Times(1'080),
            (ControlTimings{ .lastRoundTripMs_ = 50,
                             .lastReplyAgeMs_ = 30,
                             .openBatchAgeMs_ = 0 }));
}

} // namespace
} // namespace cactuswick::router

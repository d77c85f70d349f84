#include <gtest/gtest.h>

#include "connection/QueryAnswers.h"

namespace cactuswick::control {
namespace {

/// A single-replica leader and its query answers.
class AnsweringReplica
{
public:
  AnsweringReplica()
    : replica_({ .id_ = "r1" }, { .members_ = { { "r1", "a", "d", true } } })
    , answers_({ .ledger_ = ledger_, .replica_ = replica_, .waiting_ = [] {
                  return std::vector<ledger::Member>{
                    { "r1", "a", "d", true }, { "r2", "b", "d", false }
                  };
                } })
  {
    constexpr ledger::SteadyMs kElectedMs = 10'000;
    replica_.Tick(kElectedMs);
  }

  transport::QueryReply Query(transport::QueryType aQuery,
                              const std::string& aKey)
  {
    return answers_.Answer({ kCall, aQuery, aKey });
  }

  static constexpr transport::CallId kCall = 7;
  ledger::Ledger ledger_;
  ledger::Replica replica_;
  QueryAnswers answers_;
};

TEST(QueryAnswers, StatusListsOnlyNonMembersAsWaiting)
{
  AnsweringReplica answers;
  const auto reply = answers.Query(transport::QueryType::kStatus, "");
  EXPECT_EQ(reply.call_, AnsweringReplica::kCall);
  ASSERT_TRUE(reply.status_);
  EXPECT_EQ(reply.status_->leader_, "r1");
  ASSERT_EQ(reply.status_->members_.size(), 1U);
  EXPECT_EQ(reply.status_->members_[0].match_,
            answers.replica_.Log().LastIndex());
  ASSERT_EQ(reply.status_->waiting_.size(), 1U);
  EXPECT_EQ(reply.status_->waiting_[0].id_, "r2");
}

TEST(QueryAnswers, BudgetIsFoundByNameAndByPrefix)
{
  AnsweringReplica answers;
  answers.ledger_.Apply(
    ledger::ReplaceDeployment{ .version_ = 1, .budgets_ = { { "w", 5 } } }, 1);
  const std::string budget = "budget/" + model::PrepaidBudgetOf("w");
  EXPECT_EQ(
    answers.Query(transport::QueryType::kResource, budget).accounts_.size(),
    1U);
  EXPECT_TRUE(answers.Query(transport::QueryType::kResource, budget + "x")
                .accounts_.empty());
  EXPECT_EQ(answers.Query(transport::QueryType::kResources, "budget/w")
              .accounts_.size(),
            1U);
}

} // namespace
} // namespace cactuswick::control

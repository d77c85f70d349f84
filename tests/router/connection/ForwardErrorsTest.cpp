#include <gtest/gtest.h>

#include "connection/ForwardErrors.h"

#include "cactuswick/model/process/Error.h"

namespace cactuswick::router {
namespace {

using model::ErrorKind;

TEST(ForwardErrors, RequestsThatMayHaveRunNeverGetRetryStatus)
{
  for (int kind = 0; kind <= static_cast<int>(model::kLastErrorKind); ++kind) {
    const auto status =
      model::MakeError(static_cast<ErrorKind>(kind), "", "reason");
    const int code = ForwardStatusOf(status, ExecutionState::kMayHaveRun);
    EXPECT_TRUE(code == 502 || code == 504) << kind << " gives " << code;
  }
}

TEST(ForwardErrors, StatusFollowsErrorKind)
{
  struct Case
  {
    ErrorKind kind_;
    int status_;
  };
  const std::vector<Case> cases = {
    { ErrorKind::kMalformed, 400 },
    { ErrorKind::kUnauthorized, 401 },
    { ErrorKind::kBudgetExhausted, 402 },
    { ErrorKind::kUnknownResource, 404 },
    { ErrorKind::kTooLarge, 413 },
    { ErrorKind::kStarting, 503 },
    { ErrorKind::kDraining, 503 },
    { ErrorKind::kNoEndpoint, 503 },
    { ErrorKind::kQueueFull, 503 },
    { ErrorKind::kBudgetHeldElsewhere, 503 },
    { ErrorKind::kBudgetHeldForGood, 503 },
    { ErrorKind::kControlUnreachable, 503 },
  };
  for (const auto& one : cases) {
    EXPECT_EQ(ForwardStatusOf(model::MakeError(one.kind_, "", ""),
                              ExecutionState::kNotRun),
              one.status_)
      << model::NameOf(one.kind_);
  }
}

TEST(ForwardErrors, OnlyExhaustedOrLostBudgetsNeedTopUp)
{
  EXPECT_TRUE(NeedsTopUp(ErrorKind::kBudgetExhausted));
  EXPECT_TRUE(NeedsTopUp(ErrorKind::kBudgetHeldForGood));
  EXPECT_FALSE(NeedsTopUp(ErrorKind::kBudgetHeldElsewhere));
  EXPECT_FALSE(NeedsTopUp(ErrorKind::kControlUnreachable));
}

} // namespace
} // namespace cactuswick::router

#include "request/ResponseOwner.h"

#include <gtest/gtest.h>

namespace cactuswick::router {
namespace {

TEST(ResponseOwner, IdTellsWhoseResponseItIs)
{
  for (const bool notRun : { false, true }) {
    EXPECT_EQ(OwnerOf({ .notRun_ = notRun, .requestId_ = "a" }, "a"),
              ResponseOwner::kThisRequest);
    EXPECT_EQ(OwnerOf({ .notRun_ = notRun, .requestId_ = "b" }, "a"),
              ResponseOwner::kOtherRequest);
    EXPECT_EQ(OwnerOf({ .notRun_ = notRun, .requestId_ = "a" }, ""),
              ResponseOwner::kOtherRequest);
  }
}

// Guards against REFUSED: a refusal without an id may be a copy of an earlier
// one, so it promises nothing.
TEST(ResponseOwner, RefusalWithoutIdIsNobodys)
{
  EXPECT_EQ(OwnerOf({ .notRun_ = true }, "a"), ResponseOwner::kUnknown);
  EXPECT_EQ(OwnerOf({ .status_ = 500 }, "a"), ResponseOwner::kThisRequest);
}

} // namespace
} // namespace cactuswick::router

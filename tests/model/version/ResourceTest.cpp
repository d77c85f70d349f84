#include <gtest/gtest.h>

#include "cactuswick/model/version/Resource.h"

#include "cactuswick/model/process/Error.h"
#include "cactuswick/model/process/Hash.h"

namespace cactuswick::model {
namespace {

struct Case
{
  Spec spec_;
  /// Empty when the spec is valid.
  const char* field_;
};

class SpecValidation : public testing::TestWithParam<Case>
{};

TEST_P(SpecValidation, ReportsInvalidField)
{
  const auto status = Validate(GetParam().spec_);
  EXPECT_EQ(status.ok(), std::string_view(GetParam().field_).empty());
  EXPECT_EQ(FieldOf(status), GetParam().field_);
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  SpecValidation,
  testing::Values(
    Case{ Workspace{ .name_ = "ushers" }, "" },
    Case{ Workspace{ .name_ = "" }, "name" },
    Case{ Workspace{ .name_ = "Ushers" }, "name" },
    Case{ Workspace{ .name_ = "a/b" }, "name" },
    Case{ Workspace{ .name_ = std::string(64, 'a') }, "name" },
    Case{ Workspace{ .name_ = "a", .weight_ = 0 }, "weight" },
    Case{ Workspace{ .name_ = "a", .maxConcurrent_ = -1 }, "max_concurrent" },
    Case{ Budget{ .name_ = "ushers/main" }, "" },
    Case{ Budget{ .name_ = "main" }, "name" },
    Case{ Budget{ .name_ = "a/b/c" }, "name" },
    Case{ Rank{ .name_ = "r", .priority_ = 10 }, "priority" },
    Case{ Rank{ .name_ = "r", .floorPercent_ = 91 }, "floor_percent" },
    Case{ Rank{ .name_ = "r", .deadlineMs_ = 0 }, "deadline_ms" },
    Case{ Model{ .name_ = "m", .maxOutputTokens_ = 0 }, "max_output_tokens" },
    Case{ Service{ .name_ = "s", .priceTokens_ = -1 }, "price_tokens" },
    Case{ ApiKey{ .name_ = "k", .workspace_ = "w", .sha256_ = "12" },
          "sha256" },
    Case{
      ApiKey{ .name_ = "k", .workspace_ = "w", .sha256_ = Sha256Hex("secret") },
      "" }));

TEST(Errors, PreserveKindAndField)
{
  for (size_t i = 0; i <= static_cast<size_t>(kLastErrorKind); ++i) {
    const auto kind = static_cast<ErrorKind>(i);
    const auto status = MakeError(kind, "field", "detail");
    EXPECT_FALSE(status.ok());
    EXPECT_EQ(KindOf(status), kind);
    EXPECT_EQ(FieldOf(status), "field");
    EXPECT_GE(HttpStatusOf(kind), 400);
  }
}

} // namespace
} // namespace cactuswick::model

#include "cactuswick/control/process/SnapshotTask.h"

#include <filesystem>
#include <utility>
#include <vector>

#include <gtest/gtest.h>
#include <unistd.h>

namespace cactuswick::control {
namespace {

class SnapshotTaskTest : public testing::Test
{
protected:
  void SetUp() override
  {
    directory_ = std::filesystem::temp_directory_path() /
                 ("cactuswick-snapshots-" + std::to_string(getpid()));
    std::filesystem::remove_all(directory_);
    std::filesystem::create_directories(directory_);
  }

  void TearDown() override { std::filesystem::remove_all(directory_); }

  /// Creates a workspace.
  static ledger::Entry Creation(ledger::Index aIndex, const std::string& aName)
  {
    return { .index_ = aIndex,
             .term_ = 1,
             .timeMs_ = aIndex,
             .command_ = ledger::ApplyResource{
               aName, 0, model::Workspace{ .name_ = aName } } };
  }

  std::filesystem::path directory_;
};

// Guards against a replica that cannot go on with its own state after the
// leader's snapshot could not be installed.
TEST_F(SnapshotTaskTest, AnotherTaskGoesOnWhereOneWasStopped)
{
  std::vector<ledger::Index> written;
  SnapshotTask first({ .directory_ = directory_,
                       .intervalEntries_ = 3,
                       .onWritten_ = [&](const SnapshotWritten& aWritten) {
                         EXPECT_TRUE(aWritten.status_.ok());
                         written.push_back(aWritten.index_);
                       } });
  first.Apply({ Creation(1, "a"), Creation(2, "b") });
  SnapshotTaskOptions state = first.Stop();
  EXPECT_EQ(state.header_.lastIndex_, 2);
  EXPECT_TRUE(written.empty());
  {
    SnapshotTask second(std::move(state));
    second.Apply({ Creation(3, "c"), Creation(4, "d"), Creation(5, "e") });
  }
  EXPECT_EQ(written, std::vector<ledger::Index>{ 5 });
  ledger::Ledger loaded;
  const auto header = ledger::ReadSnapshot(directory_, loaded);
  ASSERT_TRUE(header.ok());
  EXPECT_EQ(header->lastIndex_, 5);
  for (const auto* name : { "a", "b", "c", "d", "e" }) {
    EXPECT_NE(loaded.FindResource(std::string("workspace/") + name), nullptr);
  }
}

} // namespace
} // namespace cactuswick::control

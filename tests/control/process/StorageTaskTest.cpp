#include "cactuswick/control/process/StorageTask.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <vector>

#include <gtest/gtest.h>
#include <unistd.h>

namespace cactuswick::control {
namespace {

constexpr ledger::Index kWrites = 300;

/// State of the log file after a sync.
struct Synced
{
  int64_t writes_ = 0;
  std::uintmax_t fileBytes_ = 0;
};

class StorageTaskTest : public testing::Test
{
protected:
  void SetUp() override
  {
    directory_ = std::filesystem::temp_directory_path() /
                 ("cactuswick-storage-" + std::to_string(getpid()));
    std::filesystem::remove_all(directory_);
    ASSERT_TRUE(ledger::LogStore::Format(directory_, { .id_ = "vm/x" }).ok());
  }

  void TearDown() override { std::filesystem::remove_all(directory_); }

  std::string LogPath() const { return directory_ / "log"; }

  void WriteAll()
  {
    ledger::RecoveredState recovered;
    auto store = ledger::LogStore::Open(directory_, recovered);
    ASSERT_TRUE(store.ok());
    StorageTask task(*std::move(store), [this](const StorageSynced& aSynced) {
      ASSERT_TRUE(aSynced.status_.ok());
      synced_.push_back(
        { aSynced.writes_, std::filesystem::file_size(LogPath()) });
    });
    for (ledger::Index index = 1; index <= kWrites; ++index) {
      task.Write({ .frame_ = { .entries_ = { ledger::Entry{ index, 1 } } },
                   .token_ = index });
    }
  }

  std::filesystem::path directory_;
  std::vector<Synced> synced_;
};

TEST_F(StorageTaskTest, PowerLossLeavesNoGapInUnsyncedWrites)
{
  constexpr size_t kLostBytes = 24;
  WriteAll();
  const auto group =
    std::find_if(synced_.rbegin(), synced_.rend(), [](const Synced& aSynced) {
      return aSynced.writes_ > 1;
    });
  ASSERT_NE(group, synced_.rend());
  std::uintmax_t bytesBefore = 0;
  int64_t writesBefore = 0;
  for (auto earlier = std::next(group); earlier != synced_.rend(); ++earlier) {
    bytesBefore = std::max(bytesBefore, earlier->fileBytes_);
    writesBefore += earlier->writes_;
  }
  // Simulates a power failure before the sync of a group of writes: the first
  // bytes of the group are lost and later ones are on disk.
  std::filesystem::resize_file(LogPath(), group->fileBytes_);
  std::fstream file(LogPath(), std::ios::binary | std::ios::in | std::ios::out);
  file.seekp(static_cast<std::streamoff>(bytesBefore));
  file << std::string(kLostBytes, '\0');
  file.close();
  ledger::RecoveredState recovered;
  const auto store = ledger::LogStore::Open(directory_, recovered);
  ASSERT_TRUE(store.ok()) << store.status();
  EXPECT_EQ(recovered.entries_.size(), static_cast<size_t>(writesBefore));
}

} // namespace
} // namespace cactuswick::control

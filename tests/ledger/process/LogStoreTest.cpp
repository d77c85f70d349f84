#include <gtest/gtest.h>

#include "cactuswick/ledger/process/LogStore.h"

#include <filesystem>
#include <fstream>

#include <unistd.h>

#include "cactuswick/ledger/process/SnapshotFile.h"
#include "cactuswick/model/process/Error.h"

namespace cactuswick::ledger {
namespace {

/// Provides a formatted data directory for each test.
class LogStoreTest : public testing::Test
{
protected:
  void SetUp() override
  {
    directory_ = std::filesystem::temp_directory_path() /
                 ("cactuswick-log-" + std::to_string(getpid()));
    std::filesystem::remove_all(directory_);
    ASSERT_TRUE(LogStore::Format(directory_, { .id_ = "vm/x" }).ok());
  }

  void TearDown() override { std::filesystem::remove_all(directory_); }

  std::string LogPath() const { return directory_ / "log"; }

  /// Writes one frame with one entry for each index.
  void Write(std::initializer_list<Index> aIndexes)
  {
    RecoveredState recovered;
    auto store = LogStore::Open(directory_, recovered);
    ASSERT_TRUE(store.ok());
    for (const Index index : aIndexes) {
      ASSERT_TRUE(store->Append({ .entries_ = { Entry{ index, 1 } } }).ok());
    }
    ASSERT_TRUE(store->Sync().ok());
  }

  absl::StatusOr<std::vector<Index>> Read()
  {
    RecoveredState recovered;
    const auto store = LogStore::Open(directory_, recovered);
    if (!store.ok()) {
      return store.status();
    }
    std::vector<Index> indexes;
    for (const auto& entry : recovered.entries_) {
      indexes.push_back(entry.index_);
    }
    return indexes;
  }

  void Damage(int64_t aOffset)
  {
    std::fstream file(LogPath(),
                      std::ios::binary | std::ios::in | std::ios::out);
    file.seekp(aOffset);
    file.put('\x5a');
  }

  std::filesystem::path directory_;
};

using Indexes = std::vector<Index>;

TEST_F(LogStoreTest, ReadReturnsWrittenEntries)
{
  Write({ 1, 2, 3 });
  EXPECT_EQ(*Read(), (Indexes{ 1, 2, 3 }));
}

TEST_F(LogStoreTest, AppliesTruncationAndHardState)
{
  RecoveredState recovered;
  auto store = LogStore::Open(directory_, recovered);
  ASSERT_TRUE(store.ok());
  ASSERT_TRUE(
    store->Append({ .entries_ = { Entry{ 1, 1 }, Entry{ 2, 1 } } }).ok());
  ASSERT_TRUE(store
                ->Append({ .hardState_ = HardState{ 4, "vm/y" },
                           .truncateFrom_ = 2,
                           .entries_ = { Entry{ 2, 4 } } })
                .ok());
  RecoveredState again;
  ASSERT_TRUE(LogStore::Open(directory_, again).ok());
  EXPECT_EQ(again.hardState_, (HardState{ 4, "vm/y" }));
  ASSERT_EQ(again.entries_.size(), 2U);
  EXPECT_EQ(again.entries_[1].term_, 4);
}

TEST_F(LogStoreTest, MergedFrameRecoversSameStateAsItsParts)
{
  const std::vector<LogFrame> frames = {
    { .hardState_ = HardState{ 1, "vm/x" },
      .entries_ = { Entry{ 1, 1 }, Entry{ 2, 1 }, Entry{ 3, 1 } } },
    { .truncateFrom_ = 3, .entries_ = { Entry{ 3, 2 }, Entry{ 4, 2 } } },
    { .hardState_ = HardState{ 3, "vm/y" }, .truncateFrom_ = 2 },
    { .entries_ = { Entry{ 2, 3 } } },
  };
  const auto recover = [this](const std::vector<LogFrame>& aFrames) {
    std::filesystem::remove(LogPath());
    RecoveredState recovered;
    auto store = LogStore::Open(directory_, recovered);
    for (const auto& frame : aFrames) {
      EXPECT_TRUE(store->Append(frame).ok());
    }
    RecoveredState again;
    EXPECT_TRUE(LogStore::Open(directory_, again).ok());
    return again;
  };
  LogFrame joined = frames.front();
  for (size_t i = 1; i < frames.size(); ++i) {
    joined = MergeFrames(std::move(joined), frames[i]);
  }
  const RecoveredState apart = recover(frames);
  const RecoveredState together = recover({ joined });
  EXPECT_EQ(apart.entries_, together.entries_);
  EXPECT_EQ(apart.hardState_, together.hardState_);
}

TEST_F(LogStoreTest, PartialLastFrameIsTruncated)
{
  Write({ 1, 2 });
  const auto kept = std::filesystem::file_size(LogPath());
  Write({ 3 });
  const auto whole = std::filesystem::file_size(LogPath());
  for (auto size = kept; size < whole; ++size) {
    std::filesystem::resize_file(LogPath(), size);
    const auto indexes = Read();
    ASSERT_TRUE(indexes.ok()) << size;
    EXPECT_EQ(*indexes, (Indexes{ 1, 2 }));
    Write({ 3 });
  }
}

TEST_F(LogStoreTest, DamageBeforeIntactFrameIsCorruptStorage)
{
  Write({ 1, 2 });
  const auto middle =
    static_cast<int64_t>(std::filesystem::file_size(LogPath()));
  Write({ 3 });
  std::filesystem::copy_file(LogPath(), directory_ / "copy");
  for (int64_t at = 0; at < middle; ++at) {
    std::filesystem::copy_file(
      directory_ / "copy",
      LogPath(),
      std::filesystem::copy_options::overwrite_existing);
    Damage(at);
    const auto indexes = Read();
    if (indexes.ok()) {
      // The byte already had the value that Damage() writes.
      EXPECT_EQ(*indexes, (Indexes{ 1, 2, 3 }));
      continue;
    }
    EXPECT_EQ(model::KindOf(indexes.status()),
              model::ErrorKind::kCorruptStorage);
  }
}

TEST_F(LogStoreTest, AppendsAfterTruncatedPartialFrame)
{
  Write({ 1, 2 });
  std::filesystem::resize_file(LogPath(),
                               std::filesystem::file_size(LogPath()) - 1);
  Write({ 2, 3 });
  EXPECT_EQ(*Read(), (Indexes{ 1, 2, 3 }));
}

TEST_F(LogStoreTest, FormatRejectsFormattedDirectory)
{
  EXPECT_EQ(model::KindOf(LogStore::Format(directory_, { .id_ = "vm/y" })),
            model::ErrorKind::kVersionConflict);
}

TEST_F(LogStoreTest, DamagedReceivedSnapshotKeepsLocalSnapshot)
{
  Ledger own;
  own.Apply(ApplyResource{ "q", 0, model::Workspace{ .name_ = "w" } }, 1);
  ASSERT_TRUE(WriteSnapshot(directory_, { .lastIndex_ = 5 }, own).ok());
  std::ifstream file(SnapshotPath(directory_), std::ios::binary);
  const std::string bytes{ std::istreambuf_iterator<char>(file), {} };
  for (const auto& received :
       { bytes.substr(0, bytes.size() - 1), bytes.substr(1), bytes }) {
    Ledger fresh;
    // The last one is intact but does not end at the announced index.
    EXPECT_EQ(model::KindOf(
                StoreReceivedSnapshot(directory_, received, 6, fresh).status()),
              model::ErrorKind::kCorruptStorage);
  }
  Ledger loaded;
  EXPECT_EQ(ReadSnapshot(directory_, loaded)->lastIndex_, 5);
  Ledger fresh;
  ASSERT_TRUE(StoreReceivedSnapshot(directory_, bytes, 5, fresh).ok());
  EXPECT_TRUE(InstallReceivedSnapshot(directory_).ok());
  EXPECT_NE(fresh.FindResource("workspace/w"), nullptr);
}

TEST_F(LogStoreTest, IncompleteSnapshotIsCorruptStorage)
{
  Ledger ledger;
  ledger.Apply(ApplyResource{ "q", 0, model::Workspace{ .name_ = "w" } }, 1);
  ASSERT_TRUE(WriteSnapshot(directory_, { .lastIndex_ = 5 }, ledger).ok());
  Ledger loaded;
  const auto header = ReadSnapshot(directory_, loaded);
  ASSERT_TRUE(header.ok());
  EXPECT_EQ(header->lastIndex_, 5);
  EXPECT_NE(loaded.FindResource("workspace/w"), nullptr);
  const auto path = SnapshotPath(directory_);
  std::filesystem::resize_file(path, std::filesystem::file_size(path) - 1);
  Ledger other;
  EXPECT_EQ(model::KindOf(ReadSnapshot(directory_, other).status()),
            model::ErrorKind::kCorruptStorage);
}

} // namespace
} // namespace cactuswick::ledger

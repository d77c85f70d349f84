#include "cactuswick/ledger/process/LogStore.h"

#include <algorithm>
#include <filesystem>
#include <vector>

#include "cactuswick/model/process/Codec.h"
#include "cactuswick/model/process/Error.h"

namespace cactuswick::ledger {

namespace {

constexpr const char* kIdentityName = "/identity";
constexpr const char* kLogName = "/log";
constexpr const char* kTemporarySuffix = ".new";

/// Writes a file of one frame and renames it to its final name once it is
/// durable.
absl::StatusOr<FrameFile>
WriteAtomically(const std::string& aDirectory,
                const std::string& aPath,
                std::string_view aPayload)
{
  const std::string temporaryPath = aPath + kTemporarySuffix;
  auto file = FrameFile::Open(temporaryPath, 0);
  if (!file.ok()) {
    return file;
  }
  absl::Status status = file->Append(aPayload);
  if (status.ok()) {
    status = file->Sync();
  }
  if (status.ok()) {
    status = RenameDurably(aDirectory, temporaryPath, aPath);
  }
  if (!status.ok()) {
    return status;
  }
  return file;
}

void
ApplyFrame(const LogFrame& aFrame, RecoveredState& aRecovered)
{
  if (aFrame.hardState_) {
    aRecovered.hardState_ = *aFrame.hardState_;
  }
  auto& entries = aRecovered.entries_;
  while (aFrame.truncateFrom_ && !entries.empty() &&
         entries.back().index_ >= *aFrame.truncateFrom_) {
    entries.pop_back();
  }
  entries.insert(entries.end(), aFrame.entries_.begin(), aFrame.entries_.end());
}

} // namespace

LogFrame
MergeFrames(LogFrame aFirst, const LogFrame& aSecond)
{
  if (aSecond.hardState_) {
    aFirst.hardState_ = aSecond.hardState_;
  }
  auto& entries = aFirst.entries_;
  if (const auto from = aSecond.truncateFrom_) {
    aFirst.truncateFrom_ =
      std::min(aFirst.truncateFrom_.value_or(*from), *from);
    std::erase_if(
      entries, [from](const Entry& aEntry) { return aEntry.index_ >= *from; });
  }
  entries.insert(
    entries.end(), aSecond.entries_.begin(), aSecond.entries_.end());
  return aFirst;
}

absl::Status
LogStore::Format(const std::string& aDirectory, const Identity& aIdentity)
{
  if (IsFormatted(aDirectory)) {
    return model::MakeError(model::ErrorKind::kVersionConflict,
                            aDirectory,
                            "the data directory is already formatted");
  }
  std::error_code error;
  std::filesystem::create_directories(aDirectory, error);
  if (error) {
    return model::MakeError(model::ErrorKind::kIo, aDirectory, error.message());
  }
  return WriteAtomically(
           aDirectory, aDirectory + kIdentityName, model::EncodeCbor(aIdentity))
    .status();
}

bool
LogStore::IsFormatted(const std::string& aDirectory)
{
  return std::filesystem::exists(aDirectory + kIdentityName);
}

absl::StatusOr<LogStore>
LogStore::Open(const std::string& aDirectory, RecoveredState& aRecovered)
{
  bool identified = false;
  const auto identity =
    ReadFrames(aDirectory + kIdentityName, [&](std::string_view aPayload) {
      auto decoded = model::DecodeCbor<Identity>(aPayload);
      identified = decoded.ok();
      if (identified) {
        aRecovered.identity_ = *decoded;
      }
      return decoded.status();
    });
  if (!identity.ok()) {
    return identity.status();
  }
  if (!identified) {
    return model::MakeError(model::ErrorKind::kCorruptStorage,
                            aDirectory,
                            "the identity file is missing or damaged");
  }
  const auto end =
    ReadFrames(aDirectory + kLogName, [&](std::string_view aPayload) {
      const auto frame = model::DecodeCbor<LogFrame>(aPayload);
      if (frame.ok()) {
        ApplyFrame(*frame, aRecovered);
      }
      return frame.status();
    });
  if (!end.ok()) {
    return end.status();
  }
  LogStore store;
  store.directory_ = aDirectory;
  auto file = FrameFile::Open(aDirectory + kLogName, *end);
  if (!file.ok()) {
    return file.status();
  }
  store.file_ = *std::move(file);
  return store;
}

absl::Status
LogStore::Append(const LogFrame& aFrame)
{
  return file_.Append(model::EncodeCbor(aFrame));
}

absl::Status
LogStore::Sync()
{
  return file_.Sync();
}

absl::Status
LogStore::Rewrite(const LogFrame& aFrame)
{
  auto file = WriteAtomically(
    directory_, directory_ + kLogName, model::EncodeCbor(aFrame));
  if (!file.ok()) {
    return file.status();
  }
  file_ = *std::move(file);
  return absl::OkStatus();
}

} // namespace cactuswick::ledger

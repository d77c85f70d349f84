#pragma once

#include <cstdint>
#include <functional>
#include <istream>
#include <optional>
#include <string>
#include <string_view>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

/// Append-only files of checksummed frames, with one writer per file.
namespace cactuswick::ledger {

/// An append-only file of frames. Owns its file descriptor.
class FrameFile
{
public:
  FrameFile() = default;
  FrameFile(FrameFile&& aOther) noexcept;
  FrameFile& operator=(FrameFile&& aOther) noexcept;
  FrameFile(const FrameFile&) = delete;
  FrameFile& operator=(const FrameFile&) = delete;
  ~FrameFile();

  /// Opens @p aPath for appending at byte @p aOffset and truncates the rest.
  static absl::StatusOr<FrameFile> Open(const std::string& aPath,
                                        int64_t aOffset);

  /// Appends one frame, which is durable only after Sync().
  absl::Status Append(std::string_view aPayload);

  /// Flushes all appended frames to disk with fdatasync.
  absl::Status Sync();

  int64_t Size() const { return size_; }

private:
  /// Removes a partially written frame from the end of the file.
  void TruncatePartialFrame() const;

  int descriptor_ = -1;
  int64_t size_ = 0;
};

/// Called with the payload of each intact frame; an error stops the read.
using FrameVisitor = std::function<absl::Status(std::string_view)>;

/// Reads the frames of @p aPath in order; a missing file counts as empty.
///
/// Returns the byte offset after the last intact frame. A damaged frame that no
/// intact frame follows is an interrupted write and is ignored; damage before
/// an intact frame is kCorruptStorage.
absl::StatusOr<int64_t>
ReadFrames(const std::string& aPath, const FrameVisitor& aVisitor);

/// Reads the frame at the current position of @p aStream; nullopt when it is
/// not intact.
std::optional<std::string>
ReadFrame(std::istream& aStream);

/// Flushes the entries of directory @p aPath to disk with fsync.
absl::Status
SyncDirectory(const std::string& aPath);

/// Renames @p aFrom to @p aTo within @p aDirectory and syncs the directory.
absl::Status
RenameDurably(const std::string& aDirectory,
              const std::string& aFrom,
              const std::string& aTo);

} // namespace cactuswick::ledger

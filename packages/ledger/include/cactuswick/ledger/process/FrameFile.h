#pragma once

#include <cstdint>
#include <functional>
#include <istream>
#include <optional>
#include <string>
#include <string_view>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

/// Files of checksummed frames, appended and synced by one writer.
namespace cactuswick::ledger {

/// An append-only file of frames. Owns its descriptor.
class FrameFile
{
public:
  FrameFile() = default;
  FrameFile(FrameFile&& aOther) noexcept;
  FrameFile& operator=(FrameFile&& aOther) noexcept;
  FrameFile(const FrameFile&) = delete;
  FrameFile& operator=(const FrameFile&) = delete;
  ~FrameFile();

  /// Opens @p aPath for appending at @p aOffset, cutting what follows it.
  static absl::StatusOr<FrameFile> Open(const std::string& aPath,
                                        int64_t aOffset);

  /// Appends one frame; not durable before Sync.
  absl::Status Append(std::string_view aPayload);

  /// Makes everything appended durable (fdatasync).
  absl::Status Sync();

  int64_t Size() const { return size_; }

private:
  /// Takes a frame back that was written in part.
  void TruncatePartialFrame() const;

  int descriptor_ = -1;
  int64_t size_ = 0;
};

/// Called for each intact frame.
using FrameVisitor = std::function<absl::Status(std::string_view)>;

/// Reads the frames of @p aPath in order; a missing file has none.
///
/// Returns the offset after the last intact frame. A damaged frame with
/// nothing intact behind it is a torn tail and is left out; damage in the
/// middle is kCorruptStorage.
absl::StatusOr<int64_t>
ReadFrames(const std::string& aPath, const FrameVisitor& aVisitor);

/// Reads the frame at the position of @p aStream; nullopt when none is intact.
std::optional<std::string>
ReadFrame(std::istream& aStream);

/// Makes the entries of directory @p aPath durable.
absl::Status
SyncDirectory(const std::string& aPath);

/// Renames @p aFrom to @p aTo within @p aDirectory, durably.
absl::Status
RenameDurably(const std::string& aDirectory,
              const std::string& aFrom,
              const std::string& aTo);

} // namespace cactuswick::ledger

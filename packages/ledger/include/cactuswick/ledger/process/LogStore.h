#pragma once

#include <optional>
#include <string>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "cactuswick/ledger/process/FrameFile.h"
#include "cactuswick/ledger/version/RaftMessage.h"

namespace cactuswick::ledger {

/// One append to the log file. Applying the frames in order rebuilds the log.
struct LogFrame
{
  std::optional<HardState> hardState_;
  /// Discards the entries at and after this index that came before.
  std::optional<Index> truncateFrom_;
  std::vector<Entry> entries_;

  bool operator==(const LogFrame&) const = default;
};

/// Returns one frame with the effect of @p aFirst followed by @p aSecond.
LogFrame
MergeFrames(LogFrame aFirst, const LogFrame& aSecond);

/// The replica that a data directory belongs to.
struct Identity
{
  /// "vm/random": differs each time the directory is formatted.
  std::string id_;
  /// Initial members of a bootstrapped directory; empty otherwise.
  std::vector<Member> members_;

  bool operator==(const Identity&) const = default;
};

/// Contents of a data directory when it was opened.
struct RecoveredState
{
  Identity identity_;
  HardState hardState_;
  std::vector<Entry> entries_;
};

/// The log and identity files in one replica's data directory.
class LogStore
{
public:
  /// Formats the data directory of a new replica. With members it belongs to
  /// the initial cluster; without, it waits to be added. Returns
  /// kVersionConflict if the directory is already formatted.
  static absl::Status Format(const std::string& aDirectory,
                             const Identity& aIdentity);

  /// Returns true if the directory has an identity file.
  static bool IsFormatted(const std::string& aDirectory);

  /// Opens a directory, truncates an interrupted write at the end of the log
  /// and reads its contents into @p aRecovered.
  static absl::StatusOr<LogStore> Open(const std::string& aDirectory,
                                       RecoveredState& aRecovered);

  /// Appends a frame, which is durable only after Sync().
  absl::Status Append(const LogFrame& aFrame);
  absl::Status Sync();

  /// Durably replaces the log by one frame, after a snapshot.
  absl::Status Rewrite(const LogFrame& aFrame);

  int64_t Size() const { return file_.Size(); }

private:
  std::string directory_;
  FrameFile file_;
};

constexpr auto
FieldsOf(const LogFrame*)
{
  return model::MakeFields(
    model::Field{ "hard_state", &LogFrame::hardState_ },
    model::Field{ "truncate_from", &LogFrame::truncateFrom_ },
    model::Field{ "entries", &LogFrame::entries_ });
}
constexpr auto
FieldsOf(const Identity*)
{
  return model::MakeFields(model::Field{ "id", &Identity::id_ },
                           model::Field{ "members", &Identity::members_ });
}

} // namespace cactuswick::ledger

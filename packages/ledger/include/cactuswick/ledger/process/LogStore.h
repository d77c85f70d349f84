#pragma once

#include <optional>
#include <string>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "cactuswick/ledger/process/FrameFile.h"
#include "cactuswick/ledger/version/RaftMessage.h"

namespace cactuswick::ledger {

/// One append to the log file. Read in order, frames rebuild the log.
struct LogFrame
{
  std::optional<HardState> hardState_;
  /// Entries at and after this index are void from here on.
  std::optional<Index> truncateFrom_;
  std::vector<Entry> entries_;

  bool operator==(const LogFrame&) const = default;
};

/// Makes one frame that does what @p aFirst and then @p aSecond do.
LogFrame
Joined(LogFrame aFirst, const LogFrame& aSecond);

/// Who a data folder belongs to.
struct Identity
{
  /// "vm/random": changes when the folder is made anew.
  std::string id_;
  /// The members that a bootstrapped folder starts with; else empty.
  std::vector<Member> members_;

  bool operator==(const Identity&) const = default;
};

/// What a data folder held when it was opened.
struct Recovered
{
  Identity identity_;
  HardState hardState_;
  std::vector<Entry> entries_;
};

/// The log and identity files of one replica's data folder.
class LogStore
{
public:
  /// Makes the folder of a new replica. With members it belongs to the first
  /// quorum; without, it waits to be added. kVersionConflict if it exists.
  static absl::Status Format(const std::string& aDirectory,
                             const Identity& aIdentity);

  /// True when the folder has an identity.
  static bool IsFormatted(const std::string& aDirectory);

  /// Opens a folder, repairs a torn tail and reads everything.
  static absl::StatusOr<LogStore> Open(const std::string& aDirectory,
                                       Recovered& aRecovered);

  /// Appends a frame; not durable before Sync.
  absl::Status Append(const LogFrame& aFrame);
  absl::Status Sync();

  /// Replaces the log by one frame, durably, after a snapshot.
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

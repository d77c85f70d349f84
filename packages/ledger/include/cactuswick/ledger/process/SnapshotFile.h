#pragma once

#include <fstream>
#include <string>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "cactuswick/ledger/version/Ledger.h"
#include "cactuswick/ledger/version/RaftMessage.h"

namespace cactuswick::ledger {

/// First frame of a snapshot file.
struct SnapshotHeader
{
  Index lastIndex_ = 0;
  Term lastTerm_ = 0;
  LogTimeMs lastTimeMs_ = 0;
  std::vector<Member> members_;

  bool operator==(const SnapshotHeader&) const = default;
};

/// The following frames of a snapshot file: a batch of records each. A frame
/// without records ends the file.
struct SnapshotRecords
{
  std::vector<SnapshotRecord> records_;
  /// Records in the whole file; set only in the frame that ends it.
  int64_t total_ = 0;

  bool operator==(const SnapshotRecords&) const = default;
};

/// Returns the path of the snapshot in a data directory.
std::string
SnapshotPath(const std::string& aDirectory);

/// Writes a snapshot, gives it its final name once it is durable and returns
/// its size in bytes.
absl::StatusOr<int64_t>
WriteSnapshot(const std::string& aDirectory,
              const SnapshotHeader& aHeader,
              const Ledger& aLedger);

/// Reads the directory's snapshot into an empty ledger. Without a snapshot the
/// header has index 0; an incomplete snapshot is kCorruptStorage.
absl::StatusOr<SnapshotHeader>
ReadSnapshot(const std::string& aDirectory, Ledger& aLedger);

/// Reads a snapshot file for sending. Keeps reading the file it opened, even
/// after a newer snapshot has replaced it.
class SnapshotReader
{
public:
  /// Returns kIo if the directory has no readable snapshot.
  static absl::StatusOr<SnapshotReader> Open(const std::string& aDirectory);

  const SnapshotHeader& Header() const { return header_; }

  /// Returns up to @p aBytes from @p aOffset; fewer at the end of the file.
  std::string Read(int64_t aOffset, int64_t aBytes);

private:
  std::ifstream stream_;
  SnapshotHeader header_;
};

/// Stores a snapshot received from the leader next to the local one and reads
/// it into an empty ledger. Returns kCorruptStorage if it is damaged or does
/// not end at @p aLastIndex: the leader may have replaced it during the
/// transfer.
absl::StatusOr<SnapshotHeader>
StoreReceivedSnapshot(const std::string& aDirectory,
                      std::string_view aBytes,
                      Index aLastIndex,
                      Ledger& aLedger);

/// Durably replaces the local snapshot by the received one.
absl::Status
InstallReceivedSnapshot(const std::string& aDirectory);

constexpr auto
FieldsOf(const SnapshotHeader*)
{
  return model::MakeFields(
    model::Field{ "last_index", &SnapshotHeader::lastIndex_ },
    model::Field{ "last_term", &SnapshotHeader::lastTerm_ },
    model::Field{ "last_time_ms", &SnapshotHeader::lastTimeMs_ },
    model::Field{ "members", &SnapshotHeader::members_ });
}
constexpr auto
FieldsOf(const SnapshotRecords*)
{
  return model::MakeFields(
    model::Field{ "records", &SnapshotRecords::records_ },
    model::Field{ "total", &SnapshotRecords::total_ });
}

} // namespace cactuswick::ledger

#pragma once

#include <fstream>
#include <string>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "cactuswick/ledger/version/Ledger.h"
#include "cactuswick/ledger/version/RaftMessage.h"

namespace cactuswick::ledger {

/// First frame of a snapshot.
struct SnapshotHeader
{
  Index lastIndex_ = 0;
  Term lastTerm_ = 0;
  LogTimeMs lastTimeMs_ = 0;
  std::vector<Member> members_;

  bool operator==(const SnapshotHeader&) const = default;
};

/// Further frames of a snapshot: some records each; the last one is closing.
struct SnapshotRecords
{
  std::vector<SnapshotRecord> records_;
  /// Records in the whole file; set in the closing frame, which has none.
  int64_t total_ = 0;

  bool operator==(const SnapshotRecords&) const = default;
};

/// Name of the snapshot inside a data folder.
std::string
SnapshotPath(const std::string& aDirectory);

/// Writes a snapshot under its final name once it is durable; returns its
/// size in bytes.
absl::StatusOr<int64_t>
WriteSnapshot(const std::string& aDirectory,
              const SnapshotHeader& aHeader,
              const Ledger& aLedger);

/// Reads the folder's snapshot into an empty ledger. A folder without one
/// gives a header of index 0; an incomplete one is kCorruptStorage.
absl::StatusOr<SnapshotHeader>
ReadSnapshot(const std::string& aDirectory, Ledger& aLedger);

/// A snapshot file for sending: it reads the file that had the name when it
/// was opened, also once a newer one has taken the name.
class SnapshotReader
{
public:
  /// kIo while the folder holds no snapshot.
  static absl::StatusOr<SnapshotReader> Open(const std::string& aDirectory);

  const SnapshotHeader& Header() const { return header_; }

  /// Bytes of the file from an offset; fewer than asked for at its end.
  std::string Read(int64_t aOffset, int64_t aBytes);

private:
  std::ifstream stream_;
  SnapshotHeader header_;
};

/// Stores a snapshot received from a leader beside the folder's own and reads
/// it into an empty ledger. kCorruptStorage when it is damaged or not the one
/// through @p aLastIndex: the leader may have replaced it while sending.
absl::StatusOr<SnapshotHeader>
StoreReceivedSnapshot(const std::string& aDirectory,
                      std::string_view aBytes,
                      Index aLastIndex,
                      Ledger& aLedger);

/// Puts the stored snapshot in the place of the folder's own, durably.
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

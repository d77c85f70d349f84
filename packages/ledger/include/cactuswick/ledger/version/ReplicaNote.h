#pragma once

#include <cstdint>
#include <string>

namespace cactuswick::ledger {

enum class NoteKind
{
  /// A snapshot is sent to a member from its first byte.
  kTransferStarted,
  /// A transfer that was under way begins again.
  kTransferRestarted,
  /// A member holds the whole snapshot.
  kTransferDone,
  /// A candidate was denied this replica's vote.
  kVoteDenied,
  /// The own candidacy ended without a majority.
  kElectionFailed,
  /// The own leadership ended.
  kSteppedDown,
};

/// Something a replica decided that an operator may have to explain.
struct ReplicaNote
{
  NoteKind kind_ = NoteKind::kTransferStarted;
  /// The member concerned, if it is one.
  std::string member_;
  std::string why_;

  bool operator==(const ReplicaNote&) const = default;
};

/// Where a member stands, as its leader sees it.
struct MemberStanding
{
  int64_t match_ = 0;
  int64_t last_ = 0;
  /// Bytes of a snapshot that it holds; -1 when none is being sent.
  int64_t snapshotBytes_ = -1;
  /// Snapshots that were begun for it.
  int64_t transfers_ = 0;
  /// Milliseconds for which this leader has known it.
  int64_t knownMs_ = 0;
  int64_t silentMs_ = 0;

  bool operator==(const MemberStanding&) const = default;
};

} // namespace cactuswick::ledger

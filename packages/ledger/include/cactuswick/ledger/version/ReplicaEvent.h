#pragma once

#include <cstdint>
#include <string>

namespace cactuswick::ledger {

enum class ReplicaEventKind
{
  /// A snapshot transfer to a member starts.
  kTransferStarted,
  /// A snapshot transfer restarts from the first byte.
  kTransferRestarted,
  /// A member has received the whole snapshot.
  kTransferDone,
  /// This replica refused to vote for a candidate.
  kVoteDenied,
  /// This replica's election ended without a majority.
  kElectionFailed,
  /// This replica stopped being the leader.
  kSteppedDown,
};

/// A decision of a replica, logged so that operators can explain its behaviour.
struct ReplicaEvent
{
  ReplicaEventKind kind_ = ReplicaEventKind::kTransferStarted;
  /// The other member involved, if any.
  std::string member_;
  std::string reason_;

  bool operator==(const ReplicaEvent&) const = default;
};

/// Replication progress of a member, as seen by the leader.
struct MemberProgress
{
  /// Last entry known to be replicated to the member.
  int64_t match_ = 0;
  /// Last entry of the leader's log.
  int64_t lastIndex_ = 0;
  /// Acknowledged bytes of the snapshot transfer; -1 without one.
  int64_t snapshotBytes_ = -1;
  /// Number of snapshot transfers started to it.
  int64_t transfers_ = 0;
  /// Time since this leader added the member.
  int64_t knownMs_ = 0;
  /// Time since the last message of the member.
  int64_t sinceContactMs_ = 0;

  bool operator==(const MemberProgress&) const = default;
};

} // namespace cactuswick::ledger

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "cactuswick/ledger/version/RaftLog.h"
#include "cactuswick/ledger/version/ReplicaNote.h"

namespace cactuswick::ledger {

/// Names a pending read that waits for proof of leadership.
using ReadId = int64_t;

/// Milliseconds of a steady clock local to the process.
using SteadyMs = int64_t;

/// A snapshot file that stays readable while a newer one takes its name.
struct SnapshotSource
{
  Index lastIndex_ = 0;
  Term lastTerm_ = 0;
  /// Bytes of the file from an offset; fewer than asked for at its end.
  std::function<std::string(int64_t aOffset, int64_t aBytes)> read_;
};

struct ReplicaOptions
{
  std::string id_;
  SteadyMs heartbeatMs_ = 100;
  /// A follower campaigns after a random silence in this range.
  SteadyMs electionMinMs_ = 500;
  SteadyMs electionMaxMs_ = 1'000;
  /// Bytes of one message of the leader are a sign of life for this long.
  SteadyMs maxMessageMs_ = 5'000;
  size_t maxEntriesPerAppend_ = 512;
  int64_t snapshotChunkBytes_ = int64_t{ 256 } * 1'024;
  /// Largest sum of declared documents in one append; one always fits.
  size_t maxBytesPerAppend_ = size_t{ 512 } * 1'024;
  /// Whether a caught-up newcomer gets its vote without being asked for.
  bool promotesCaughtUp_ = true;
  uint64_t seed_ = 1;
  /// Most bytes of log kept for members that catch up; the estimate of an
  /// entry is its document and kEntryOverheadBytes.
  size_t maxRetainedBytes_ = size_t{ 4 } * 1'024 * 1'024;
  /// Opens the newest snapshot; nullopt when there is none.
  std::function<std::optional<SnapshotSource>()> openSnapshot_;
};

/// What a replica starts from.
struct ReplicaStart
{
  /// The steady clock when the replica starts.
  SteadyMs startMs_ = 0;
  HardState hardState_;
  Index snapshotIndex_ = 0;
  Term snapshotTerm_ = 0;
  LogTimeMs snapshotTimeMs_ = 0;
  std::vector<Member> members_;
  std::vector<Entry> entries_;
};

/// A message for one replica.
struct Envelope
{
  std::string to_;
  RaftMessage message_;
};

/// A whole snapshot received from the leader.
struct ReceivedSnapshot
{
  Index lastIndex_ = 0;
  Term lastTerm_ = 0;
  std::string bytes_;
};

/// What the caller must do after feeding events to a replica.
struct Effects
{
  /// To append to the log file, in this order, before the later sends.
  std::optional<HardState> hardState_;
  std::optional<Index> truncateFrom_;
  std::vector<Entry> persist_;
  std::vector<Envelope> sendNow_;
  /// Only after all that was ever handed out to persist is durable.
  std::vector<Envelope> sendAfterSync_;
  /// Reads for which leadership is proved.
  std::vector<ReadId> readsReady_;
  /// Reads that must be asked again of another replica.
  std::vector<ReadId> readsFailed_;
  std::optional<ReceivedSnapshot> install_;
  /// For the log of the process; nothing depends on them.
  std::vector<ReplicaNote> notes_;

  bool NeedsPersisting() const
  {
    return hardState_ || truncateFrom_ || !persist_.empty();
  }
};

enum class ReplicaRole
{
  kFollower,
  kPreCandidate,
  kCandidate,
  kLeader,
};

/// One replica of the log: elections with pre-vote and quorum check,
/// replication, membership and proofs of leadership for reads.
///
/// Pure: it is fed events and leaves effects to be taken; it owns no clock,
/// file or socket. Follows the Raft algorithm (Ongaro, 2014).
class Replica
{
public:
  Replica(ReplicaOptions aOptions, ReplicaStart aStart);

  void Tick(SteadyMs aNowMs);
  void Receive(const RaftMessage& aMessage, SteadyMs aNowMs);

  /// Says that bytes of a message from the leader, not whole yet, came at
  /// @p aHeardMs.
  void HearLeader(SteadyMs aHeardMs);

  /// Appends a command at the leader; nullopt at any other replica.
  std::optional<Index> Propose(Command aCommand, SteadyMs aNowMs);

  /// Changes one member at the leader; kInProgress while a change is open.
  absl::Status ProposeMembers(std::vector<Member> aMembers, SteadyMs aNowMs);

  /// Asks for proof of leadership; false when it is not the leader.
  bool RequestRead(ReadId aRead);

  /// Says that entries through @p aIndex of @p aTerm are durable here.
  void Persisted(Index aIndex, Term aTerm);

  /// Says that a snapshot through @p aIndex is durable here.
  void SnapshotWritten(Index aIndex, Index aCompactThrough);

  /// Says that the received snapshot is in place.
  void SnapshotInstalled(const ReplicaStart& aSnapshot);

  /// Takes the effects of everything fed since the last call.
  Effects Take();

  ReplicaRole Role() const { return role_; }
  Term CurrentTerm() const { return hardState_.term_; }
  Index CommitIndex() const { return commit_; }
  const RaftLog& Log() const { return log_; }
  const HardState& Hard() const { return hardState_; }
  const std::string& LeaderId() const { return leaderId_; }
  const std::vector<Member>& Members() const { return members_; }
  /// True at a leader that has committed an entry of its own term.
  bool CanServe() const;
  /// Last entry known to be at @p aMember; 0 unless leader.
  Index MatchOf(const std::string& aMember) const;
  /// Whether a member follows the leader's log closely enough for a vote: its
  /// last round of replication was shorter than an election timeout, and no
  /// large entry is on its way to it.
  bool IsCaughtUp(const std::string& aMember) const;
  /// How long a member has not been heard; 0 for the replica itself.
  SteadyMs SilenceOf(const std::string& aMember) const;
  /// Where a member stands; nullopt unless leader.
  std::optional<MemberStanding> StandingOf(const std::string& aMember) const;
  /// Whether a change of members is not committed yet.
  bool HasOpenChange() const { return membersIndex_ > commit_; }

private:
  struct Peer
  {
    Index next_ = 1;
    Index match_ = 0;
    int64_t ackedRound_ = 0;
    SteadyMs lastHeardMs_ = 0;
    /// When the last piece of a snapshot was sent.
    SteadyMs lastChunkMs_ = 0;
    /// The round in which that piece was sent, until it is answered.
    std::optional<int64_t> chunkRound_;
    /// Where entries were last sent again from, and the round of that time.
    Index resendFrom_ = 0;
    int64_t resendRound_ = -1;
    /// When this leader first knew of it.
    SteadyMs addedMs_ = 0;
    /// Snapshots that were begun for it.
    int64_t transfers_ = 0;
    /// The snapshot that it is being sent, until it has it.
    std::optional<SnapshotSource> source_;
    /// A round of replication ends once the member holds what the log held
    /// at its start.
    Index roundEnd_ = 0;
    SteadyMs roundStartMs_ = 0;
    bool caughtUp_ = false;
    /// When its log was first looked for at the start of the own.
    std::optional<SteadyMs> probeStartMs_;
    /// Snapshot transfer: bytes acknowledged, or -1 when none is open.
    int64_t snapshotOffset_ = -1;
  };

  struct PendingRead
  {
    ReadId id_ = 0;
    int64_t round_ = 0;
  };

  void On(const VoteRequest& aMessage);
  void On(const VoteReply& aMessage);
  void On(const AppendRequest& aMessage);
  void On(const AppendReply& aMessage);
  void On(const SnapshotChunk& aMessage);
  void On(const SnapshotReply& aMessage);

  bool IsVoter(const std::string& aId) const;
  size_t Quorum() const;
  bool LogIsCurrent(Index aLastIndex, Term aLastTerm) const;
  void BecomeFollower(Term aTerm, const std::string& aLeader);
  void AddEvent(NoteKind aKind,
                const std::string& aMember,
                std::string aReason);
  void ReportFailedElection();
  std::string UnreachableVoters() const;
  std::string VoteDenialReason(const VoteRequest& aMessage,
                               bool aLeaderIsLive,
                               bool aCurrent) const;
  void Campaign(bool aPreVote);
  void CountVote(const std::string& aFrom);
  void BecomeLeader();
  void ResetElectionTimer();
  void LeaderTick();
  bool HeardFromQuorum() const;

  void AppendLocal(Command aCommand);
  void AcceptEntries(const AppendRequest& aMessage);
  void Truncate(Index aFrom);
  void UpdateMembers();
  std::vector<Member> MembersThrough(Index aIndex) const;
  void SyncPeers();
  void Replicate();
  void SendAppend(const std::string& aTo, Peer& aPeer, bool aEvenIfEmpty);
  void SendSnapshot(const std::string& aTo, Peer& aPeer);
  /// Says that all that a snapshot covers is held here.
  void ConfirmSnapshot(const SnapshotChunk& aMessage);
  void ReportTransfer(const std::string& aTo, Peer& aPeer);
  void UpdateCatchUp(Peer& aPeer);
  /// Bytes of documents in the log that a member has not confirmed.
  size_t LagBytes(const Peer& aPeer) const;
  /// The last entry that no member in reach needs any more.
  Index CompactionLimit(Index aThrough) const;
  /// Sends again what a member says it lacks. There is no timer for this: a
  /// heartbeat behind an entry that was lost is refused.
  void ResendAfterRefusal(Peer& aPeer, const AppendReply& aRefusal);
  Index NextAfterRefusal(const std::string& aFrom, Peer& aPeer, Index aIndex);
  void EndTransfers();
  void AdvanceCommit();
  void ConfirmReads();
  void FailReads();
  void PromoteCaughtUp();

  ReplicaOptions options_;
  HardState hardState_;
  RaftLog log_;
  Index snapshotIndex_ = 0;
  Term snapshotTerm_ = 0;
  std::vector<Member> baseMembers_;
  std::vector<Member> members_;
  Index membersIndex_ = 0;
  Index commit_ = 0;
  Index persisted_ = 0;

  ReplicaRole role_ = ReplicaRole::kFollower;
  std::string leaderId_;
  std::vector<std::string> votes_;
  std::map<std::string, Peer> peers_;
  Index termStart_ = 0;
  int64_t round_ = 0;
  std::vector<PendingRead> reads_;

  SteadyMs nowMs_ = 0;
  SteadyMs electionDeadlineMs_ = 0;
  SteadyMs lastLeaderContactMs_ = -1'000'000;
  /// When the last whole message of a leader came.
  SteadyMs lastMessageMs_ = 0;
  /// When the leader was last told that something of it is arriving.
  SteadyMs lastActivityReplyMs_ = 0;
  SteadyMs lastBroadcastMs_ = 0;
  /// Log time at @c termStartMs_, from which a leader's log time runs on.
  LogTimeMs termStartTimeMs_ = 0;
  SteadyMs termStartMs_ = 0;
  bool replicate_ = false;
  bool heartbeat_ = false;

  ReceivedSnapshot incomingSnapshot_;
  std::mt19937_64 random_;
  Effects effects_;
};

} // namespace cactuswick::ledger

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "cactuswick/ledger/version/LogFormat.h"
#include "cactuswick/ledger/version/RaftLog.h"
#include "cactuswick/ledger/version/ReplicaEvent.h"
#include "cactuswick/ledger/version/SnapshotTransfer.h"

namespace cactuswick::ledger {

/// Identifies a read that waits for confirmation of leadership.
using ReadId = int64_t;

struct ReplicaOptions
{
  std::string id_;
  SteadyMs heartbeatMs_ = 100;
  /// Range of the randomized election timeout.
  SteadyMs electionMinMs_ = 500;
  SteadyMs electionMaxMs_ = 1'000;
  /// How long a partially received message of the leader postpones an election,
  /// bounded so that a trickle of bytes cannot keep a stalled leader.
  SteadyMs maxMessageMs_ = 5'000;
  size_t maxEntriesPerAppend_ = 512;
  int64_t snapshotChunkBytes_ = int64_t{ 256 } * 1'024;
  /// Limit on the deployment documents in one append; the first entry is always
  /// sent.
  size_t maxBytesPerAppend_ = size_t{ 512 } * 1'024;
  /// Whether a leader promotes learners that have caught up to voters.
  bool autoPromote_ = true;
  uint64_t seed_ = 1;
  /// Log format that this replica reads.
  int64_t format_ = kLogFormat;
  /// Limit on the log retained for members that are catching up. An entry
  /// counts as its document plus kEntryOverheadBytes.
  size_t maxRetainedBytes_ = size_t{ 4 } * 1'024 * 1'024;
  /// Opens the newest snapshot; nullopt when there is none.
  std::function<std::optional<SnapshotSource>()> openSnapshot_;
};

/// The recovered state from which a replica starts.
struct ReplicaStart
{
  /// Steady clock at the start.
  SteadyMs startMs_ = 0;
  HardState hardState_;
  Index snapshotIndex_ = 0;
  Term snapshotTerm_ = 0;
  LogTimeMs snapshotTimeMs_ = 0;
  std::vector<Member> members_;
  std::vector<Entry> entries_;
};

/// A message and its recipient.
struct Envelope
{
  std::string to_;
  RaftMessage message_;
};

/// A complete snapshot received from the leader.
struct ReceivedSnapshot
{
  Index lastIndex_ = 0;
  Term lastTerm_ = 0;
  std::string bytes_;
};

/// Actions that the caller must perform after passing events to a replica.
struct Effects
{
  /// To be appended to the log file with the next two fields, in this order.
  std::optional<HardState> hardState_;
  std::optional<Index> truncateFrom_;
  std::vector<Entry> persist_;
  std::vector<Envelope> sendNow_;
  /// To be sent only after everything handed out for persisting is durable.
  std::vector<Envelope> sendAfterSync_;
  /// Reads for which leadership is confirmed.
  std::vector<ReadId> readsReady_;
  /// Reads that must be retried at another replica.
  std::vector<ReadId> readsFailed_;
  std::optional<ReceivedSnapshot> install_;
  /// For logging only.
  std::vector<ReplicaEvent> events_;

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

/// One Raft replica: elections with pre-vote and quorum check, replication,
/// membership changes and leadership confirmation for reads.
///
/// Performs no I/O: it consumes events and produces Effects for the caller, and
/// owns no clock, file or socket. Implements Raft (Ongaro, 2014).
class Replica
{
public:
  Replica(ReplicaOptions aOptions, ReplicaStart aStart);

  void Tick(SteadyMs aNowMs);
  void Receive(const RaftMessage& aMessage, SteadyMs aNowMs);

  /// Reports that a part of a message from the leader arrived at @p
  /// aReceivedMs.
  void LeaderBytesReceived(SteadyMs aReceivedMs);

  /// Appends a command on the leader; nullopt on any other replica.
  std::optional<Index> Propose(Command aCommand, SteadyMs aNowMs);

  /// Changes one member; kNotLeader unless leader, kInProgress while an earlier
  /// change is uncommitted.
  absl::Status ProposeMembers(std::vector<Member> aMembers, SteadyMs aNowMs);

  /// Starts confirming leadership for a read; false if it cannot serve reads.
  bool RequestRead(ReadId aRead);

  /// Reports that the log is durable through entry @p aIndex of term @p aTerm.
  void Persisted(Index aIndex, Term aTerm);

  /// Reports that a local snapshot through @p aIndex is durable, so that the
  /// log may be compacted through @p aCompactThrough.
  void SnapshotWritten(Index aIndex, Index aCompactThrough);

  /// Reports that the snapshot received from the leader is installed.
  void SnapshotInstalled(const ReplicaStart& aSnapshot);

  /// Returns the effects of all events since the last call.
  Effects TakeEffects();

  ReplicaRole Role() const { return role_; }
  Term CurrentTerm() const { return hardState_.term_; }
  Index CommitIndex() const { return commit_; }
  const RaftLog& Log() const { return log_; }
  const HardState& CurrentHardState() const { return hardState_; }
  const std::string& LeaderId() const { return leaderId_; }
  const std::vector<Member>& Members() const { return members_; }
  /// Returns true on a leader that has committed an entry of its own term.
  bool CanServe() const;
  /// Last entry known to be replicated to @p aMember; 0 if it is not a known
  /// peer.
  Index MatchIndexOf(const std::string& aMember) const;
  /// Whether a member is close enough to the leader's log to become a voter:
  /// its last replication round was shorter than the election timeout, and no
  /// large entry is in flight to it.
  bool IsCaughtUp(const std::string& aMember) const;
  /// Time since the last message of a member; 0 for the replica itself.
  SteadyMs MsSinceContact(const std::string& aMember) const;
  /// Members that cannot read entries of log format @p aFormat, and on a new
  /// leader those that it has not heard from and that may still respond.
  std::vector<std::string> MembersUnableToRead(int64_t aFormat) const;
  /// Replication progress of a member; nullopt unless leader.
  std::optional<MemberProgress> ProgressOf(const std::string& aMember) const;
  /// Whether the latest membership change is uncommitted.
  bool HasPendingMemberChange() const { return membersIndex_ > commit_; }

private:
  struct Peer
  {
    Index next_ = 1;
    Index match_ = 0;
    int64_t ackedRound_ = 0;
    SteadyMs lastHeardMs_ = 0;
    /// Log format that it reads; unknown until it replies to this leader.
    std::optional<int64_t> format_;
    /// First entry of the last resend after a refusal, and the round of that
    /// resend.
    Index resendFrom_ = 0;
    int64_t resendRound_ = -1;
    /// When the leader added this peer.
    SteadyMs addedMs_ = 0;
    SnapshotTransfer transfer_;
    /// Last log index at the start of the current replication round; the round
    /// ends once the member has matched it.
    Index roundEnd_ = 0;
    SteadyMs roundStartMs_ = 0;
    bool caughtUp_ = false;
    /// When probing for a match at the start of the leader's log began.
    std::optional<SteadyMs> probeStartMs_;
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
  void AddEvent(ReplicaEventKind aKind,
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
  /// Steps down without a quorum and schedules heartbeats and promotions.
  void LeaderTick();
  bool HeardFromQuorum() const;

  void AppendLocal(Command aCommand);
  void AcceptEntries(const AppendRequest& aMessage);
  void Truncate(Index aFrom);
  void UpdateMembers();
  std::vector<Member> MembersThrough(Index aIndex) const;
  /// Adds and removes peers to match the members.
  void SyncPeers();
  void Replicate();
  void SendAppend(const std::string& aTo, Peer& aPeer, bool aEvenIfEmpty);
  void SendSnapshot(const std::string& aTo, Peer& aPeer);
  /// Replies that everything in a snapshot is already committed here.
  void ConfirmSnapshot(const SnapshotChunk& aMessage);
  /// Logs that the next chunk is the first of a snapshot.
  void ReportTransferStart(const std::string& aTo, const Peer& aPeer);
  /// Ends the replication round of a peer that has reached its end.
  void UpdateCatchUp(Peer& aPeer);
  /// Bytes of documents in the entries that a member has not acknowledged.
  size_t LagBytes(const Peer& aPeer) const;
  /// Returns the last entry through @p aThrough that can be compacted: no
  /// reachable member needs it or retaining it would exceed the limit.
  Index CompactionLimit(Index aThrough) const;
  /// Resends the entries that a member reports missing. This needs no timer: a
  /// heartbeat that follows a lost entry is refused.
  void ResendAfterRefusal(Peer& aPeer, const AppendReply& aRefusal);
  /// Returns the entry from which to resend after a refusal.
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
  /// Members as of the base of the log.
  std::vector<Member> baseMembers_;
  std::vector<Member> members_;
  /// Index of the entry that set @c members_.
  Index membersIndex_ = 0;
  Index commit_ = 0;
  Index persisted_ = 0;

  ReplicaRole role_ = ReplicaRole::kFollower;
  std::string leaderId_;
  std::vector<std::string> votes_;
  std::map<std::string, Peer> peers_;
  /// First entry of this leader's term.
  Index termStart_ = 0;
  int64_t round_ = 0;
  std::vector<PendingRead> reads_;

  SteadyMs nowMs_ = 0;
  SteadyMs electionDeadlineMs_ = 0;
  SteadyMs lastLeaderContactMs_ = -1'000'000;
  /// When the last complete message of a leader was received.
  SteadyMs lastMessageMs_ = 0;
  /// When the leader was last notified that a message of it is arriving.
  SteadyMs lastActivityReplyMs_ = 0;
  SteadyMs lastBroadcastMs_ = 0;
  /// Log time at @c termStartMs_, from which a leader's log time advances.
  LogTimeMs termStartTimeMs_ = 0;
  SteadyMs termStartMs_ = 0;
  bool replicate_ = false;
  bool heartbeat_ = false;

  ReceivedSnapshot incomingSnapshot_;
  std::mt19937_64 random_;
  Effects effects_;
};

} // namespace cactuswick::ledger

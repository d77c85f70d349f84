// Replica: construction, elections and leadership confirmation.

#include "cactuswick/ledger/version/Replica.h"

#include <algorithm>
#include <utility>

#include "cactuswick/model/process/Error.h"
#include "cactuswick/model/process/Text.h"
#include "version/EntrySize.h"

namespace cactuswick::ledger {

namespace {

/// A learner that lacks more bytes of documents is not promoted: as a voter it
/// would delay commits.
constexpr size_t kMaxVoterLagBytes = size_t{ 16 } * 1'024;

} // namespace

Replica::Replica(ReplicaOptions aOptions, ReplicaStart aStart)
  : options_(std::move(aOptions))
  , hardState_(std::move(aStart.hardState_))
  , snapshotIndex_(aStart.snapshotIndex_)
  , snapshotTerm_(aStart.snapshotTerm_)
  , baseMembers_(std::move(aStart.members_))
  , commit_(aStart.snapshotIndex_)
  , nowMs_(aStart.startMs_)
  , random_(options_.seed_)
{
  log_.Reset(snapshotIndex_, snapshotTerm_, aStart.snapshotTimeMs_);
  for (auto& entry : aStart.entries_) {
    if (entry.index_ == log_.LastIndex() + 1) {
      log_.Append(std::move(entry));
    }
  }
  persisted_ = log_.LastIndex();
  UpdateMembers();
  // Use a short first timeout, since there may be no leader after a restart. If
  // there is one, its followers deny the vote.
  std::uniform_int_distribution<SteadyMs> initialTimeout(
    options_.electionMinMs_ / 4, options_.electionMinMs_);
  electionDeadlineMs_ = nowMs_ + initialTimeout(random_);
}

bool
Replica::IsVoter(const std::string& aId) const
{
  return std::any_of(
    members_.begin(), members_.end(), [&](const Member& aMember) {
      return aMember.id_ == aId && aMember.voter_;
    });
}

size_t
Replica::Quorum() const
{
  const auto voters =
    std::count_if(members_.begin(), members_.end(), [](const Member& aMember) {
      return aMember.voter_;
    });
  return static_cast<size_t>(voters) / 2 + 1;
}

bool
Replica::CanServe() const
{
  return role_ == ReplicaRole::kLeader && commit_ >= termStart_;
}

Index
Replica::MatchIndexOf(const std::string& aMember) const
{
  const auto found = peers_.find(aMember);
  return found == peers_.end() ? 0 : found->second.match_;
}

bool
Replica::IsCaughtUp(const std::string& aMember) const
{
  const auto found = peers_.find(aMember);
  if (found == peers_.end() || !found->second.caughtUp_) {
    return false;
  }
  const Peer& peer = found->second;
  const bool close = peer.match_ >= log_.LastIndex() ||
                     nowMs_ - peer.roundStartMs_ <= options_.electionMaxMs_;
  return close && LagBytes(peer) <= kMaxVoterLagBytes;
}

size_t
Replica::LagBytes(const Peer& aPeer) const
{
  size_t bytes = 0;
  const Index first = std::max(aPeer.match_, log_.BaseIndex()) + 1;
  for (Index index = first; index <= log_.LastIndex(); ++index) {
    bytes += DocumentBytes(log_.At(index));
  }
  return bytes;
}

SteadyMs
Replica::MsSinceContact(const std::string& aMember) const
{
  const auto found = peers_.find(aMember);
  return found == peers_.end() ? 0 : nowMs_ - found->second.lastHeardMs_;
}

std::optional<MemberProgress>
Replica::ProgressOf(const std::string& aMember) const
{
  const auto found = peers_.find(aMember);
  if (role_ != ReplicaRole::kLeader || found == peers_.end()) {
    return std::nullopt;
  }
  const Peer& peer = found->second;
  return MemberProgress{ .match_ = peer.match_,
                         .lastIndex_ = log_.LastIndex(),
                         .snapshotBytes_ = peer.transfer_.AcknowledgedBytes(),
                         .transfers_ = peer.transfer_.StartCount(),
                         .knownMs_ = nowMs_ - peer.addedMs_,
                         .sinceContactMs_ = nowMs_ - peer.lastHeardMs_ };
}

void
Replica::AddEvent(ReplicaEventKind aKind,
                  const std::string& aMember,
                  std::string aReason)
{
  effects_.events_.push_back({ aKind, aMember, std::move(aReason) });
}

std::string
Replica::UnreachableVoters() const
{
  std::string silent;
  for (const auto& [id, peer] : peers_) {
    const SteadyMs silence = nowMs_ - peer.lastHeardMs_;
    if (IsVoter(id) && silence > options_.electionMaxMs_) {
      model::AppendTo(silent, " ", id, "=", silence, "ms");
    }
  }
  return silent;
}

void
Replica::ReportFailedElection()
{
  if (votes_.empty()) {
    return;
  }
  std::string from;
  for (const auto& vote : votes_) {
    model::AppendTo(from, " ", vote);
  }
  AddEvent(
    ReplicaEventKind::kElectionFailed,
    "",
    model::Concat(role_ == ReplicaRole::kPreCandidate ? "pre-vote" : "vote",
                  " in term ",
                  hardState_.term_,
                  ": ",
                  votes_.size(),
                  " of ",
                  Quorum(),
                  " needed, from",
                  from));
}

std::string
Replica::VoteDenialReason(const VoteRequest& aMessage,
                          bool aLeaderIsLive,
                          bool aCurrent) const
{
  if (aLeaderIsLive) {
    return model::Concat("leader ", leaderId_, " is alive");
  }
  if (!aCurrent) {
    return model::Concat("its log ends at entry ",
                         aMessage.lastIndex_,
                         " of term ",
                         aMessage.lastTerm_,
                         ", ours at ",
                         log_.LastIndex(),
                         " of term ",
                         log_.LastTerm());
  }
  return model::Concat("its term ",
                       aMessage.term_,
                       ", ours ",
                       hardState_.term_,
                       ", voted for ",
                       hardState_.votedFor_);
}

void
Replica::ResetElectionTimer()
{
  std::uniform_int_distribution<SteadyMs> silence(options_.electionMinMs_,
                                                  options_.electionMaxMs_);
  electionDeadlineMs_ = nowMs_ + silence(random_);
}

void
Replica::Tick(SteadyMs aNowMs)
{
  nowMs_ = std::max(nowMs_, aNowMs);
  if (role_ == ReplicaRole::kLeader) {
    LeaderTick();
    return;
  }
  if (nowMs_ >= electionDeadlineMs_ && IsVoter(options_.id_)) {
    if (role_ != ReplicaRole::kFollower) {
      ReportFailedElection();
    }
    Campaign(true);
  }
}

void
Replica::LeaderTick()
{
  if (nowMs_ >= electionDeadlineMs_) {
    ResetElectionTimer();
    if (!HeardFromQuorum()) {
      AddEvent(ReplicaEventKind::kSteppedDown,
               "",
               model::Concat("no contact with a quorum, silent:",
                             UnreachableVoters()));
      BecomeFollower(hardState_.term_, "");
      return;
    }
  }
  if (nowMs_ - lastBroadcastMs_ >= options_.heartbeatMs_) {
    heartbeat_ = true;
  }
  if (options_.autoPromote_) {
    PromoteCaughtUp();
  }
}

bool
Replica::HeardFromQuorum() const
{
  size_t heard = IsVoter(options_.id_) ? 1 : 0;
  for (const auto& [id, peer] : peers_) {
    const bool recent = nowMs_ - peer.lastHeardMs_ <= options_.electionMaxMs_;
    heard += recent && IsVoter(id) ? 1 : 0;
  }
  return heard >= Quorum();
}

void
Replica::Receive(const RaftMessage& aMessage, SteadyMs aNowMs)
{
  nowMs_ = std::max(nowMs_, aNowMs);
  std::visit([this](const auto& aOne) { On(aOne); }, aMessage);
}

void
Replica::BecomeFollower(Term aTerm, const std::string& aLeader)
{
  if (aTerm > hardState_.term_) {
    hardState_ = { aTerm, "" };
    effects_.hardState_ = hardState_;
    if (role_ == ReplicaRole::kLeader) {
      AddEvent(ReplicaEventKind::kSteppedDown,
               aLeader,
               model::Concat("term ", aTerm, " was seen"));
    }
  }
  if (role_ == ReplicaRole::kLeader) {
    EndTransfers();
  }
  role_ = ReplicaRole::kFollower;
  leaderId_ = aLeader;
  FailReads();
  ResetElectionTimer();
}

void
Replica::FailReads()
{
  for (const auto& read : reads_) {
    effects_.readsFailed_.push_back(read.id_);
  }
  reads_.clear();
}

bool
Replica::LogIsCurrent(Index aLastIndex, Term aLastTerm) const
{
  if (aLastTerm != log_.LastTerm()) {
    return aLastTerm > log_.LastTerm();
  }
  return aLastIndex >= log_.LastIndex();
}

void
Replica::Campaign(bool aPreVote)
{
  role_ = aPreVote ? ReplicaRole::kPreCandidate : ReplicaRole::kCandidate;
  leaderId_.clear();
  if (!aPreVote) {
    hardState_ = { hardState_.term_ + 1, options_.id_ };
    effects_.hardState_ = hardState_;
  }
  votes_.clear();
  ResetElectionTimer();
  const VoteRequest request{ .from_ = options_.id_,
                             .term_ = hardState_.term_ + (aPreVote ? 1 : 0),
                             .lastIndex_ = log_.LastIndex(),
                             .lastTerm_ = log_.LastTerm(),
                             .preVote_ = aPreVote };
  for (const auto& member : members_) {
    if (member.voter_ && member.id_ != options_.id_) {
      effects_.sendAfterSync_.push_back({ member.id_, request });
    }
  }
  CountVote(options_.id_);
}

void
Replica::On(const VoteRequest& aMessage)
{
  VoteReply reply{ .from_ = options_.id_,
                   .term_ = aMessage.term_,
                   .preVote_ = aMessage.preVote_ };
  // Followers of a live leader deny votes, so that it is not replaced.
  const bool leaderIsLive =
    role_ == ReplicaRole::kLeader ||
    (!leaderId_.empty() &&
     nowMs_ - lastLeaderContactMs_ < options_.electionMinMs_);
  const bool current = LogIsCurrent(aMessage.lastIndex_, aMessage.lastTerm_);
  if (aMessage.preVote_) {
    reply.granted_ =
      !leaderIsLive && current && aMessage.term_ > hardState_.term_;
    if (!reply.granted_) {
      reply.term_ = hardState_.term_;
      AddEvent(ReplicaEventKind::kVoteDenied,
               aMessage.from_,
               VoteDenialReason(aMessage, leaderIsLive, current));
    }
    effects_.sendNow_.push_back({ aMessage.from_, reply });
    return;
  }
  if (leaderIsLive) {
    AddEvent(ReplicaEventKind::kVoteDenied,
             aMessage.from_,
             VoteDenialReason(aMessage, leaderIsLive, current));
    return;
  }
  if (aMessage.term_ > hardState_.term_) {
    BecomeFollower(aMessage.term_, "");
  }
  const bool canVote =
    hardState_.votedFor_.empty() || hardState_.votedFor_ == aMessage.from_;
  reply.term_ = hardState_.term_;
  reply.granted_ = aMessage.term_ == hardState_.term_ && canVote && current;
  if (reply.granted_) {
    hardState_.votedFor_ = aMessage.from_;
    effects_.hardState_ = hardState_;
    ResetElectionTimer();
  } else {
    AddEvent(ReplicaEventKind::kVoteDenied,
             aMessage.from_,
             VoteDenialReason(aMessage, leaderIsLive, current));
  }
  effects_.sendAfterSync_.push_back({ aMessage.from_, reply });
}

void
Replica::On(const VoteReply& aMessage)
{
  if (!aMessage.granted_) {
    if (aMessage.term_ > hardState_.term_) {
      BecomeFollower(aMessage.term_, "");
    }
    return;
  }
  const bool expected =
    aMessage.preVote_
      ? role_ == ReplicaRole::kPreCandidate &&
          aMessage.term_ == hardState_.term_ + 1
      : role_ == ReplicaRole::kCandidate && aMessage.term_ == hardState_.term_;
  if (expected) {
    CountVote(aMessage.from_);
  }
}

void
Replica::CountVote(const std::string& aFrom)
{
  if (!IsVoter(aFrom) ||
      std::find(votes_.begin(), votes_.end(), aFrom) != votes_.end()) {
    return;
  }
  votes_.push_back(aFrom);
  if (votes_.size() < Quorum()) {
    return;
  }
  if (role_ == ReplicaRole::kPreCandidate) {
    Campaign(false);
  } else {
    BecomeLeader();
  }
}

void
Replica::BecomeLeader()
{
  role_ = ReplicaRole::kLeader;
  leaderId_ = options_.id_;
  peers_.clear();
  SyncPeers();
  ResetElectionTimer();
  termStart_ = log_.LastIndex() + 1;
  termStartMs_ = nowMs_;
  termStartTimeMs_ = log_.LastTimeMs();
  AppendLocal(ChangeMembers{ members_ });
}

void
Replica::SyncPeers()
{
  std::erase_if(peers_, [&](const auto& aPair) {
    return std::none_of(
      members_.begin(), members_.end(), [&](const Member& aMember) {
        return aMember.id_ == aPair.first;
      });
  });
  for (const auto& member : members_) {
    if (member.id_ != options_.id_ && !peers_.contains(member.id_)) {
      peers_[member.id_] = Peer{ .next_ = log_.LastIndex() + 1,
                                 .lastHeardMs_ = nowMs_,
                                 .addedMs_ = nowMs_,
                                 .roundEnd_ = log_.LastIndex(),
                                 .roundStartMs_ = nowMs_ };
    }
  }
}

bool
Replica::RequestRead(ReadId aRead)
{
  if (!CanServe()) {
    return false;
  }
  // Reads requested before the next heartbeat share its round.
  reads_.push_back({ aRead, round_ + 1 });
  heartbeat_ = true;
  return true;
}

void
Replica::ConfirmReads()
{
  std::vector<PendingRead> waiting;
  for (const auto& read : reads_) {
    size_t acked = IsVoter(options_.id_) ? 1 : 0;
    for (const auto& [id, peer] : peers_) {
      acked += peer.ackedRound_ >= read.round_ && IsVoter(id) ? 1 : 0;
    }
    if (acked >= Quorum() && round_ >= read.round_) {
      effects_.readsReady_.push_back(read.id_);
    } else {
      waiting.push_back(read);
    }
  }
  reads_ = std::move(waiting);
}

Effects
Replica::TakeEffects()
{
  if (role_ == ReplicaRole::kLeader && (replicate_ || heartbeat_)) {
    Replicate();
  }
  replicate_ = false;
  heartbeat_ = false;
  if (role_ == ReplicaRole::kLeader && !reads_.empty()) {
    ConfirmReads();
  }
  return std::exchange(effects_, {});
}

} // namespace cactuswick::ledger

// Replica: replication of entries, commit and membership.

#include "cactuswick/ledger/version/Replica.h"

#include <algorithm>
#include <utility>

#include "cactuswick/model/process/Error.h"
#include "version/EntrySize.h"

namespace cactuswick::ledger {

namespace {

/// Drops entries from the end until the documents fit the limit or only the
/// first entry is left.
void
LimitBytes(std::vector<Entry>& aEntries, size_t aLimit)
{
  size_t sum = 0;
  for (size_t i = 0; i < aEntries.size(); ++i) {
    sum += DocumentBytes(aEntries[i]);
    if (i > 0 && sum > aLimit) {
      aEntries.resize(i);
    }
  }
}

} // namespace

std::optional<Index>
Replica::Propose(Command aCommand, SteadyMs aNowMs)
{
  nowMs_ = std::max(nowMs_, aNowMs);
  if (role_ != ReplicaRole::kLeader) {
    return std::nullopt;
  }
  AppendLocal(std::move(aCommand));
  return log_.LastIndex();
}

absl::Status
Replica::ProposeMembers(std::vector<Member> aMembers, SteadyMs aNowMs)
{
  if (!CanServe()) {
    return model::MakeError(
      model::ErrorKind::kNotLeader, "", "only the leader can change members");
  }
  if (membersIndex_ > commit_) {
    return model::MakeError(model::ErrorKind::kInProgress,
                            "",
                            "another membership change is not committed yet");
  }
  Propose(ChangeMembers{ std::move(aMembers) }, aNowMs);
  return absl::OkStatus();
}

void
Replica::AppendLocal(Command aCommand)
{
  const LogTimeMs time =
    std::max(log_.LastTimeMs(), termStartTimeMs_ + (nowMs_ - termStartMs_));
  Entry entry{
    log_.LastIndex() + 1, hardState_.term_, time, std::move(aCommand)
  };
  effects_.persist_.push_back(entry);
  const bool members = std::holds_alternative<ChangeMembers>(entry.command_);
  log_.Append(std::move(entry));
  if (members) {
    UpdateMembers();
    SyncPeers();
  }
  replicate_ = true;
}

void
Replica::UpdateMembers()
{
  membersIndex_ = log_.LastIndex();
  while (
    membersIndex_ > log_.BaseIndex() &&
    !std::holds_alternative<ChangeMembers>(log_.At(membersIndex_).command_)) {
    --membersIndex_;
  }
  members_ = MembersThrough(membersIndex_);
}

std::vector<Member>
Replica::MembersThrough(Index aIndex) const
{
  for (Index i = aIndex; i > log_.BaseIndex(); --i) {
    if (const auto* change = std::get_if<ChangeMembers>(&log_.At(i).command_)) {
      return change->members_;
    }
  }
  return baseMembers_;
}

void
Replica::Persisted(Index aIndex, Term aTerm)
{
  // The entries may have been replaced during the write.
  if (log_.TermAt(aIndex) != aTerm) {
    return;
  }
  persisted_ = std::max(persisted_, aIndex);
  if (role_ == ReplicaRole::kLeader) {
    AdvanceCommit();
  }
}

void
Replica::AdvanceCommit()
{
  std::vector<Index> matches;
  for (const auto& member : members_) {
    if (member.voter_) {
      matches.push_back(member.id_ == options_.id_ ? persisted_
                                                   : MatchIndexOf(member.id_));
    }
  }
  if (matches.empty()) {
    return;
  }
  std::sort(matches.begin(), matches.end(), std::greater<>());
  const Index quorumMatch = matches[Quorum() - 1];
  // Only entries of the leader's own term are committed by counting replicas
  // (Raft, section 5.4.2).
  if (quorumMatch > commit_ && log_.TermAt(quorumMatch) == hardState_.term_) {
    commit_ = quorumMatch;
    if (membersIndex_ <= commit_ && !IsVoter(options_.id_)) {
      BecomeFollower(hardState_.term_, "");
    }
  }
}

void
Replica::Replicate()
{
  if (heartbeat_) {
    ++round_;
    lastBroadcastMs_ = nowMs_;
  }
  for (auto& [id, peer] : peers_) {
    SendAppend(id, peer, heartbeat_);
  }
}

void
Replica::SendAppend(const std::string& aTo, Peer& aPeer, bool aEvenIfEmpty)
{
  // An unreachable member gets only heartbeats until it answers one.
  const bool unreachable =
    nowMs_ - aPeer.lastHeardMs_ > options_.electionMaxMs_;
  if (aPeer.next_ <= log_.BaseIndex()) {
    SendSnapshot(aTo, aPeer);
  }
  const Index previous = std::max(aPeer.next_ - 1, log_.BaseIndex());
  AppendRequest request{ .from_ = options_.id_,
                         .term_ = hardState_.term_,
                         .previousIndex_ = previous,
                         .previousTerm_ = log_.TermAt(previous),
                         .commit_ = commit_,
                         .round_ = round_ };
  if (aPeer.next_ > log_.BaseIndex() && !unreachable) {
    request.entries_ = log_.Slice(aPeer.next_, options_.maxEntriesPerAppend_);
    LimitBytes(request.entries_, options_.maxBytesPerAppend_);
  }
  if (request.entries_.empty() && !aEvenIfEmpty) {
    return;
  }
  aPeer.next_ += static_cast<Index>(request.entries_.size());
  effects_.sendNow_.push_back({ aTo, std::move(request) });
}

void
Replica::On(const AppendRequest& aMessage)
{
  AppendReply reply{ .from_ = options_.id_,
                     .term_ = hardState_.term_,
                     .round_ = aMessage.round_,
                     .format_ = options_.format_ };
  if (aMessage.term_ < hardState_.term_) {
    effects_.sendNow_.push_back({ aMessage.from_, reply });
    return;
  }
  BecomeFollower(aMessage.term_, aMessage.from_);
  lastLeaderContactMs_ = nowMs_;
  lastMessageMs_ = nowMs_;
  reply.term_ = hardState_.term_;
  const Index previous = aMessage.previousIndex_;
  const bool covered = previous < log_.BaseIndex();
  if (!covered && log_.TermAt(previous) != aMessage.previousTerm_) {
    // Skip the whole conflicting term at once.
    Index retry = std::min(previous, log_.LastIndex() + 1);
    const Term conflicting = log_.TermAt(retry);
    while (retry > commit_ + 1 && log_.TermAt(retry - 1) == conflicting) {
      --retry;
    }
    reply.index_ = std::max(retry, commit_ + 1);
    effects_.sendNow_.push_back({ aMessage.from_, reply });
    return;
  }
  AcceptEntries(aMessage);
  const Index last = previous + static_cast<Index>(aMessage.entries_.size());
  commit_ = std::max(commit_, std::min(aMessage.commit_, last));
  reply.success_ = true;
  // Committed entries are the same in every leader's log.
  reply.index_ = std::max(last, commit_);
  effects_.sendAfterSync_.push_back({ aMessage.from_, reply });
}

void
Replica::LeaderBytesReceived(SteadyMs aReceivedMs)
{
  nowMs_ = std::max(nowMs_, aReceivedMs);
  const bool follows = role_ == ReplicaRole::kFollower && !leaderId_.empty();
  const bool tooLong = aReceivedMs - lastMessageMs_ > options_.maxMessageMs_;
  if (!follows || tooLong || aReceivedMs <= lastLeaderContactMs_) {
    return;
  }
  lastLeaderContactMs_ = aReceivedMs;
  ResetElectionTimer();
  if (nowMs_ - lastActivityReplyMs_ < options_.heartbeatMs_) {
    return;
  }
  lastActivityReplyMs_ = nowMs_;
  // Heartbeats are queued behind the arriving message: without this reply the
  // leader would lose contact with its quorum and step down. Committed entries
  // are the same in its log.
  effects_.sendAfterSync_.push_back(
    { leaderId_,
      AppendReply{ .from_ = options_.id_,
                   .term_ = hardState_.term_,
                   .success_ = true,
                   .index_ = commit_,
                   .format_ = options_.format_ } });
}

void
Replica::AcceptEntries(const AppendRequest& aMessage)
{
  bool membersChanged = false;
  for (const auto& entry : aMessage.entries_) {
    if (entry.index_ <= log_.BaseIndex() ||
        (entry.index_ <= log_.LastIndex() &&
         log_.TermAt(entry.index_) == entry.term_)) {
      continue;
    }
    if (entry.index_ <= log_.LastIndex()) {
      Truncate(entry.index_);
      membersChanged = true;
    }
    membersChanged |= std::holds_alternative<ChangeMembers>(entry.command_);
    effects_.persist_.push_back(entry);
    log_.Append(entry);
  }
  if (membersChanged) {
    UpdateMembers();
  }
}

void
Replica::Truncate(Index aFrom)
{
  log_.TruncateFrom(aFrom);
  persisted_ = std::min(persisted_, aFrom - 1);
  std::erase_if(effects_.persist_,
                [&](const Entry& aEntry) { return aEntry.index_ >= aFrom; });
  effects_.truncateFrom_ =
    std::min(effects_.truncateFrom_.value_or(aFrom), aFrom);
}

void
Replica::On(const AppendReply& aMessage)
{
  if (aMessage.term_ > hardState_.term_) {
    BecomeFollower(aMessage.term_, "");
    return;
  }
  const auto found = peers_.find(aMessage.from_);
  if (role_ != ReplicaRole::kLeader || aMessage.term_ < hardState_.term_ ||
      found == peers_.end()) {
    return;
  }
  Peer& peer = found->second;
  peer.lastHeardMs_ = nowMs_;
  peer.format_ = aMessage.format_;
  peer.ackedRound_ = std::max(peer.ackedRound_, aMessage.round_);
  if (!aMessage.success_) {
    ResendAfterRefusal(peer, aMessage);
    return;
  }
  // A reply to a partial message may come from a member that still lacks the
  // start of the log.
  if (aMessage.index_ >= log_.BaseIndex()) {
    peer.probeStartMs_.reset();
  }
  if (aMessage.index_ > peer.match_) {
    peer.match_ = aMessage.index_;
    peer.next_ = std::max(peer.next_, peer.match_ + 1);
    AdvanceCommit();
  }
  // The reply that ends a transfer may be lost on a link that is still being
  // opened.
  if (peer.transfer_.IsActive() &&
      peer.match_ >= peer.transfer_.LastIndexOr(0)) {
    peer.transfer_.End();
  }
  UpdateCatchUp(peer);
  replicate_ = replicate_ || peer.next_ <= log_.LastIndex();
}

void
Replica::ResendAfterRefusal(Peer& aPeer, const AppendReply& aRefusal)
{
  const Index next = NextAfterRefusal(aRefusal.from_, aPeer, aRefusal.index_);
  // Links preserve message order, so this refusal was sent before the entries
  // resent for an earlier refusal could arrive.
  const bool obsolete =
    aRefusal.round_ <= aPeer.resendRound_ && next >= aPeer.resendFrom_;
  if (obsolete) {
    return;
  }
  aPeer.next_ = next;
  aPeer.resendFrom_ = next;
  aPeer.resendRound_ = round_;
  replicate_ = true;
}

Index
Replica::NextAfterRefusal(const std::string& aFrom, Peer& aPeer, Index aIndex)
{
  const Index next = std::max(aPeer.match_ + 1, std::min(aPeer.next_, aIndex));
  if (next > log_.BaseIndex() || !IsVoter(aFrom)) {
    return next;
  }
  // A refusal skips a whole term and possibly entries that match. Entries at
  // the start of the leader's log are committed, so a voter that was briefly
  // away has them: probe there before sending a snapshot.
  const SteadyMs probeStart =
    *(aPeer.probeStartMs_ = aPeer.probeStartMs_.value_or(nowMs_));
  return nowMs_ - probeStart < options_.electionMinMs_ ? log_.BaseIndex() + 1
                                                       : next;
}

void
Replica::UpdateCatchUp(Peer& aPeer)
{
  if (aPeer.match_ == 0 || aPeer.match_ < aPeer.roundEnd_) {
    return;
  }
  aPeer.caughtUp_ = nowMs_ - aPeer.roundStartMs_ <= options_.electionMaxMs_;
  aPeer.roundEnd_ = log_.LastIndex();
  aPeer.roundStartMs_ = nowMs_;
}

void
Replica::PromoteCaughtUp()
{
  if (!CanServe() || membersIndex_ > commit_) {
    return;
  }
  for (size_t i = 0; i < members_.size(); ++i) {
    const Member& member = members_[i];
    if (!member.voter_ && IsCaughtUp(member.id_)) {
      std::vector<Member> promoted = members_;
      promoted[i].voter_ = true;
      AppendLocal(ChangeMembers{ std::move(promoted) });
      return;
    }
  }
}

} // namespace cactuswick::ledger

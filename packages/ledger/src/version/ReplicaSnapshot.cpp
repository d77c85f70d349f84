// Replica: transfer of snapshots, and compaction of the log behind them.

#include "cactuswick/ledger/version/Replica.h"

#include <algorithm>
#include <utility>

#include "cactuswick/model/process/Text.h"
#include "version/EntrySize.h"

namespace cactuswick::ledger {

namespace {

/// Estimated memory of an entry without its document.
constexpr size_t kEntryOverheadBytes = 256;
/// A member without contact for longer than this does not delay compaction.
constexpr SteadyMs kUnreachableAfterMs = 3'000;

} // namespace

void
Replica::ReportTransferStart(const std::string& aTo, const Peer& aPeer)
{
  const bool again = aPeer.transfer_.AcknowledgedBytes() == 0;
  AddEvent(again ? ReplicaEventKind::kTransferRestarted
                 : ReplicaEventKind::kTransferStarted,
           aTo,
           model::Concat("snapshot through entry ",
                         aPeer.transfer_.LastIndexOr(0),
                         ", its log matches through ",
                         aPeer.match_,
                         ", ours starts after ",
                         log_.BaseIndex(),
                         again ? "; no reply, or it arrived incomplete" : ""));
}

void
Replica::SendSnapshot(const std::string& aTo, Peer& aPeer)
{
  SnapshotTransfer& transfer = aPeer.transfer_;
  if (!options_.openSnapshot_ ||
      transfer.AwaitsReply(
        aPeer.ackedRound_, nowMs_, options_.electionMaxMs_)) {
    return;
  }
  if (!transfer.IsActive()) {
    auto source = options_.openSnapshot_();
    if (!source) {
      return;
    }
    transfer.Start(*std::move(source));
  }
  if (transfer.AcknowledgedBytes() <= 0) {
    ReportTransferStart(aTo, aPeer);
  }
  SnapshotChunk chunk =
    transfer.NextChunk(options_.snapshotChunkBytes_, round_, nowMs_);
  chunk.from_ = options_.id_;
  chunk.term_ = hardState_.term_;
  effects_.sendNow_.push_back({ aTo, std::move(chunk) });
}

void
Replica::EndTransfers()
{
  for (auto& [id, peer] : peers_) {
    peer.transfer_.End();
  }
}

void
Replica::On(const SnapshotChunk& aMessage)
{
  if (aMessage.term_ < hardState_.term_) {
    return;
  }
  BecomeFollower(aMessage.term_, aMessage.from_);
  lastLeaderContactMs_ = nowMs_;
  lastMessageMs_ = nowMs_;
  if (aMessage.lastIndex_ <= commit_) {
    ConfirmSnapshot(aMessage);
    return;
  }
  if (incomingSnapshot_.lastIndex_ != aMessage.lastIndex_ ||
      aMessage.offset_ == 0) {
    incomingSnapshot_ = { aMessage.lastIndex_, aMessage.lastTerm_, "" };
  }
  const auto have = static_cast<int64_t>(incomingSnapshot_.bytes_.size());
  SnapshotReply reply{ .from_ = options_.id_,
                       .term_ = hardState_.term_,
                       .lastIndex_ = aMessage.lastIndex_,
                       .offset_ = have };
  if (aMessage.offset_ == have) {
    incomingSnapshot_.bytes_ += aMessage.bytes_.bytes_;
    reply.offset_ = static_cast<int64_t>(incomingSnapshot_.bytes_.size());
    if (aMessage.done_) {
      effects_.install_ = std::exchange(incomingSnapshot_, {});
    }
    reply.done_ = aMessage.done_;
  }
  effects_.sendAfterSync_.push_back({ aMessage.from_, reply });
}

void
Replica::ConfirmSnapshot(const SnapshotChunk& aMessage)
{
  const auto size = static_cast<int64_t>(aMessage.bytes_.bytes_.size());
  effects_.sendAfterSync_.push_back(
    { aMessage.from_,
      SnapshotReply{ .from_ = options_.id_,
                     .term_ = hardState_.term_,
                     .lastIndex_ = aMessage.lastIndex_,
                     .offset_ = aMessage.offset_ + size,
                     .done_ = true } });
}

void
Replica::On(const SnapshotReply& aMessage)
{
  const auto found = peers_.find(aMessage.from_);
  if (role_ != ReplicaRole::kLeader || aMessage.term_ != hardState_.term_ ||
      found == peers_.end()) {
    return;
  }
  Peer& peer = found->second;
  peer.lastHeardMs_ = nowMs_;
  peer.transfer_.OnReply(aMessage);
  if (aMessage.done_) {
    peer.transfer_.End();
    AddEvent(ReplicaEventKind::kTransferDone,
             aMessage.from_,
             model::Concat("snapshot through entry ",
                           aMessage.lastIndex_,
                           " of ",
                           log_.LastIndex()));
    peer.match_ = std::max(peer.match_, aMessage.lastIndex_);
    peer.next_ = peer.match_ + 1;
  }
  replicate_ = true;
}

void
Replica::SnapshotWritten(Index aIndex, Index aCompactThrough)
{
  if (!log_.Has(aIndex) || aIndex <= snapshotIndex_) {
    return;
  }
  snapshotIndex_ = aIndex;
  snapshotTerm_ = log_.TermAt(aIndex);
  const Index through = CompactionLimit(aCompactThrough);
  if (through > log_.BaseIndex() && through <= aIndex) {
    baseMembers_ = MembersThrough(through);
    log_.CompactThrough(through);
  }
}

Index
Replica::CompactionLimit(Index aThrough) const
{
  if (role_ != ReplicaRole::kLeader || !log_.Has(aThrough)) {
    return aThrough;
  }
  Index lowestNeeded = aThrough;
  for (const auto& [id, peer] : peers_) {
    if (nowMs_ - peer.lastHeardMs_ <= kUnreachableAfterMs) {
      lowestNeeded =
        std::min(lowestNeeded, peer.transfer_.LastIndexOr(peer.match_));
    }
  }
  Index through = aThrough;
  size_t bytes = 0;
  while (through > std::max(lowestNeeded, log_.BaseIndex())) {
    bytes += kEntryOverheadBytes + DocumentBytes(log_.At(through));
    if (bytes > options_.maxRetainedBytes_) {
      break;
    }
    --through;
  }
  return through;
}

void
Replica::SnapshotInstalled(const ReplicaStart& aSnapshot)
{
  snapshotIndex_ = aSnapshot.snapshotIndex_;
  snapshotTerm_ = aSnapshot.snapshotTerm_;
  baseMembers_ = aSnapshot.members_;
  // Entries after a matching one were acknowledged and must be kept.
  if (log_.Has(snapshotIndex_) &&
      log_.TermAt(snapshotIndex_) == snapshotTerm_) {
    log_.CompactThrough(snapshotIndex_);
  } else {
    log_.Reset(snapshotIndex_, snapshotTerm_, aSnapshot.snapshotTimeMs_);
    persisted_ = snapshotIndex_;
  }
  commit_ = std::max(commit_, snapshotIndex_);
  UpdateMembers();
}

} // namespace cactuswick::ledger

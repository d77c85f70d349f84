#include "cactuswick/ledger/version/SnapshotTransfer.h"

#include <algorithm>
#include <utility>

namespace cactuswick::ledger {

void
SnapshotTransfer::Start(SnapshotSource aSource)
{
  source_ = std::move(aSource);
  offset_ = -1;
}

void
SnapshotTransfer::End()
{
  source_.reset();
  offset_ = -1;
}

Index
SnapshotTransfer::LastIndexOr(Index aOtherwise) const
{
  return source_ ? source_->lastIndex_ : aOtherwise;
}

bool
SnapshotTransfer::AwaitsReply(int64_t aAckedRound,
                              SteadyMs aNowMs,
                              SteadyMs aTimeoutMs) const
{
  return source_ && chunkRound_ &&
         (aAckedRound <= *chunkRound_ || aNowMs - lastChunkMs_ < aTimeoutMs);
}

SnapshotChunk
SnapshotTransfer::NextChunk(int64_t aMaxBytes, int64_t aRound, SteadyMs aNowMs)
{
  starts_ += offset_ <= 0 ? 1 : 0;
  offset_ = std::max(offset_, int64_t{ 0 });
  SnapshotChunk chunk{ .lastIndex_ = source_->lastIndex_,
                       .lastTerm_ = source_->lastTerm_,
                       .offset_ = offset_ };
  chunk.bytes_.bytes_ = source_->read_(offset_, aMaxBytes);
  chunk.done_ = static_cast<int64_t>(chunk.bytes_.bytes_.size()) < aMaxBytes;
  lastChunkMs_ = aNowMs;
  chunkRound_ = aRound;
  return chunk;
}

void
SnapshotTransfer::OnReply(const SnapshotReply& aReply)
{
  chunkRound_.reset();
  if (source_ && aReply.lastIndex_ == source_->lastIndex_) {
    offset_ = aReply.offset_;
  }
}

} // namespace cactuswick::ledger

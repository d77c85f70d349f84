#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "cactuswick/ledger/version/RaftMessage.h"

namespace cactuswick::ledger {

/// Milliseconds of a steady clock local to the process.
using SteadyMs = int64_t;

/// A snapshot file that stays readable after a newer one has replaced it.
struct SnapshotSource
{
  Index lastIndex_ = 0;
  Term lastTerm_ = 0;
  /// Returns up to @p aBytes from @p aOffset; fewer at the end of the file.
  std::function<std::string(int64_t aOffset, int64_t aBytes)> read_;
};

/// A leader's transfers of snapshots to one member: one at a time, in chunks of
/// which one is in flight.
class SnapshotTransfer
{
public:
  /// Starts a transfer; the first chunk begins at the first byte.
  void Start(SnapshotSource aSource);
  /// Ends the transfer, whether it is complete or not.
  void End();

  bool IsActive() const { return source_.has_value(); }
  /// Returns the last entry of the snapshot, or @p aOtherwise without a
  /// transfer.
  Index LastIndexOr(Index aOtherwise) const;

  /// Returns whether a reply to the last chunk is still expected. Links
  /// preserve message order: until a later heartbeat than that of the chunk's
  /// round is answered, the chunk may still be in flight, and for at least
  /// @p aTimeoutMs.
  bool AwaitsReply(int64_t aAckedRound,
                   SteadyMs aNowMs,
                   SteadyMs aTimeoutMs) const;

  /// Returns the chunk at the acknowledged offset, without sender and term, and
  /// records that it is sent in @p aRound. Only while active.
  SnapshotChunk NextChunk(int64_t aMaxBytes, int64_t aRound, SteadyMs aNowMs);
  /// Handles the reply to a chunk.
  void OnReply(const SnapshotReply& aReply);

  /// Returns the acknowledged bytes; -1 before the first chunk and without a
  /// transfer.
  int64_t AcknowledgedBytes() const { return offset_; }
  /// Returns how often a snapshot's first chunk was sent.
  int64_t StartCount() const { return starts_; }

private:
  std::optional<SnapshotSource> source_;
  int64_t offset_ = -1;
  int64_t starts_ = 0;
  /// When the last chunk was sent.
  SteadyMs lastChunkMs_ = 0;
  /// Round in which that chunk was sent, until it is answered.
  std::optional<int64_t> chunkRound_;
};

} // namespace cactuswick::ledger

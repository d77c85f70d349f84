#pragma once

#include <cstddef>
#include <deque>
#include <vector>

#include "cactuswick/ledger/version/RaftMessage.h"

namespace cactuswick::ledger {

/// The in-memory log entries after a base index that a snapshot covers.
class RaftLog
{
public:
  /// Starts an empty log whose next entry is @p aBaseIndex + 1.
  void Reset(Index aBaseIndex, Term aBaseTerm, LogTimeMs aBaseTimeMs);

  Index BaseIndex() const { return baseIndex_; }
  Index LastIndex() const;
  Term LastTerm() const;
  LogTimeMs LastTimeMs() const;

  /// Returns true if the term of @p aIndex is known: the base or an entry.
  bool Has(Index aIndex) const;
  /// Returns the term of @p aIndex; 0 if unknown.
  Term TermAt(Index aIndex) const;
  const Entry& At(Index aIndex) const;

  void Append(Entry aEntry);
  void TruncateFrom(Index aIndex);
  /// Drops entries through @p aIndex, which must be in the log.
  void CompactThrough(Index aIndex);

  /// Returns up to @p aLimit entries starting at @p aFrom.
  std::vector<Entry> Slice(Index aFrom, size_t aLimit) const;

private:
  Index baseIndex_ = 0;
  Term baseTerm_ = 0;
  LogTimeMs baseTimeMs_ = 0;
  std::deque<Entry> entries_;
};

} // namespace cactuswick::ledger

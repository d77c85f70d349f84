#pragma once

#include <cstddef>
#include <deque>
#include <vector>

#include "cactuswick/ledger/version/RaftMessage.h"

namespace cactuswick::ledger {

/// The entries behind a base that a snapshot covers, in memory.
class RaftLog
{
public:
  /// Starts an empty log whose next entry is @p aBaseIndex + 1.
  void Reset(Index aBaseIndex, Term aBaseTerm, LogTimeMs aBaseTimeMs);

  Index BaseIndex() const { return baseIndex_; }
  Index LastIndex() const;
  Term LastTerm() const;
  LogTimeMs LastTimeMs() const;

  /// True when the term of @p aIndex is known here.
  bool Has(Index aIndex) const;
  /// Term at @p aIndex; 0 when it is not known here.
  Term TermAt(Index aIndex) const;
  const Entry& At(Index aIndex) const;

  void Append(Entry aEntry);
  void TruncateFrom(Index aIndex);
  /// Drops entries through @p aIndex, which must be held.
  void CompactThrough(Index aIndex);

  /// Entries from @p aFrom on, at most @p aLimit.
  std::vector<Entry> Slice(Index aFrom, size_t aLimit) const;

private:
  Index baseIndex_ = 0;
  Term baseTerm_ = 0;
  LogTimeMs baseTimeMs_ = 0;
  std::deque<Entry> entries_;
};

} // namespace cactuswick::ledger

#include "cactuswick/ledger/version/RaftLog.h"

#include <algorithm>
#include <utility>

namespace cactuswick::ledger {

void
RaftLog::Reset(Index aBaseIndex, Term aBaseTerm, LogTimeMs aBaseTimeMs)
{
  baseIndex_ = aBaseIndex;
  baseTerm_ = aBaseTerm;
  baseTimeMs_ = aBaseTimeMs;
  entries_.clear();
}

Index
RaftLog::LastIndex() const
{
  return baseIndex_ + static_cast<Index>(entries_.size());
}

Term
RaftLog::LastTerm() const
{
  return entries_.empty() ? baseTerm_ : entries_.back().term_;
}

LogTimeMs
RaftLog::LastTimeMs() const
{
  return entries_.empty() ? baseTimeMs_ : entries_.back().timeMs_;
}

bool
RaftLog::Has(Index aIndex) const
{
  return aIndex >= baseIndex_ && aIndex <= LastIndex();
}

Term
RaftLog::TermAt(Index aIndex) const
{
  if (aIndex == baseIndex_) {
    return baseTerm_;
  }
  return Has(aIndex) ? At(aIndex).term_ : 0;
}

const Entry&
RaftLog::At(Index aIndex) const
{
  return entries_[static_cast<size_t>(aIndex - baseIndex_ - 1)];
}

void
RaftLog::Append(Entry aEntry)
{
  entries_.push_back(std::move(aEntry));
}

void
RaftLog::TruncateFrom(Index aIndex)
{
  while (LastIndex() >= aIndex && !entries_.empty()) {
    entries_.pop_back();
  }
}

void
RaftLog::CompactThrough(Index aIndex)
{
  if (aIndex <= baseIndex_) {
    return;
  }
  baseTerm_ = TermAt(aIndex);
  baseTimeMs_ = At(aIndex).timeMs_;
  while (baseIndex_ < aIndex) {
    entries_.pop_front();
    ++baseIndex_;
  }
}

std::vector<Entry>
RaftLog::Slice(Index aFrom, size_t aLimit) const
{
  const auto start = static_cast<size_t>(aFrom - baseIndex_ - 1);
  const size_t end = std::min(entries_.size(), start + aLimit);
  std::vector<Entry> slice;
  for (size_t i = start; i < end; ++i) {
    slice.push_back(entries_[i]);
  }
  return slice;
}

} // namespace cactuswick::ledger

#include "cactuswick/routing/process/GrantTable.h"

#include <algorithm>

namespace cactuswick::routing {

namespace {

/// Minimum history for a rate; a shorter one gives no reliable rate.
constexpr int64_t kMinRateWindowMs = 2'500;
constexpr int64_t kPercent = 100;

/// Returns an amount times a ratio; the product of the integers may overflow.
Tokens
Scale(Tokens aAmount, int64_t aNumerator, int64_t aDenominator)
{
  return static_cast<Tokens>(static_cast<double>(aAmount) *
                             static_cast<double>(aNumerator) /
                             static_cast<double>(aDenominator));
}

} // namespace

GrantTable::GrantTable(GrantTableOptions aOptions)
  : options_(aOptions)
{
}

bool
GrantTable::Reserve(const std::string& aBudget, Tokens aAmount, int64_t aNowMs)
{
  const auto found = entries_.find(aBudget);
  if (found == entries_.end()) {
    return aAmount == 0;
  }
  Entry& entry = found->second;
  entry.lastUseMs_ = aNowMs;
  if (entry.windowStartMs_ == 0) {
    entry.windowStartMs_ = aNowMs;
  }
  if (aAmount < 0 || aAmount > entry.granted_ - entry.reserved_) {
    return false;
  }
  entry.reserved_ += aAmount;
  if (aNowMs - entry.windowStartMs_ > options_.horizonMs_) {
    const bool adjacent =
      aNowMs - entry.windowStartMs_ <= 2 * options_.horizonMs_;
    entry.previousWindowUse_ = adjacent ? entry.windowUse_ : 0;
    entry.windowUse_ = 0;
    entry.windowStartMs_ = aNowMs;
  }
  entry.windowUse_ += aAmount;
  return true;
}

void
GrantTable::Release(const std::string& aBudget, Tokens aAmount)
{
  const auto found = entries_.find(aBudget);
  if (found != entries_.end()) {
    found->second.reserved_ =
      std::max(Tokens{ 0 }, found->second.reserved_ - aAmount);
  }
}

void
GrantTable::Spend(const std::string& aBudget, Tokens aAmount)
{
  const auto found = entries_.find(aBudget);
  if (found != entries_.end()) {
    Release(aBudget, aAmount);
    found->second.granted_ -= aAmount;
  }
}

void
GrantTable::OnGranted(const std::string& aBudget, Tokens aAmount)
{
  entries_[aBudget].granted_ += aAmount;
}

ledger::AcquireGrant
GrantTable::Ask(const std::string& aBudget,
                Tokens aMinimum,
                int64_t aNowMs,
                Tokens aTotal) const
{
  ledger::AcquireGrant acquire{ aBudget, std::max(aMinimum, aTotal), aMinimum };
  const auto found = entries_.find(aBudget);
  if (found == entries_.end()) {
    return acquire;
  }
  const Entry& entry = found->second;
  const Tokens free = entry.granted_ - entry.reserved_;
  acquire.minimum_ = std::max(Tokens{ 1 }, aMinimum - free);
  acquire.want_ = std::max(acquire.minimum_, aTotal - free);
  const bool exact = aNowMs < entry.exactUntilMs_;
  if (!exact && !options_.extrapolates_) {
    acquire.want_ = std::max(acquire.want_, RecentUse(entry, aNowMs));
  }
  return acquire;
}

bool
GrantTable::RunsOutWithin(const std::string& aBudget,
                          int64_t aSpanMs,
                          int64_t aNowMs) const
{
  return Free(aBudget) <
         Scale(RecentUseOf(aBudget, aNowMs), aSpanMs, options_.horizonMs_);
}

Tokens
GrantTable::RecentUse(const Entry& aEntry, int64_t aNowMs) const
{
  const Tokens observed =
    std::max(aEntry.windowUse_, aEntry.previousWindowUse_);
  if (!options_.extrapolates_) {
    return observed;
  }
  const int64_t elapsed = std::clamp(
    aNowMs - aEntry.windowStartMs_, kMinRateWindowMs, options_.horizonMs_);
  const Tokens rate =
    aEntry.previousWindowUse_ > 0
      ? 0
      : Scale(aEntry.windowUse_, options_.horizonMs_, elapsed);
  const Tokens target =
    Scale(std::max(observed, rate), options_.targetPercent_, kPercent);
  return std::max(target, aEntry.floor_);
}

std::optional<ledger::AcquireGrant>
GrantTable::PlanRefill(const std::string& aBudget,
                       int64_t aNowMs,
                       Tokens aRequested) const
{
  const auto found = entries_.find(aBudget);
  if (found == entries_.end() || aNowMs < found->second.exactUntilMs_) {
    return std::nullopt;
  }
  const Entry& entry = found->second;
  const Tokens recent = RecentUse(entry, aNowMs);
  const Tokens left = entry.granted_ - entry.reserved_ + aRequested;
  if (left >= Scale(recent, options_.refillPercent_, kPercent)) {
    return std::nullopt;
  }
  // With extrapolation the target is the amount to hold at all times, so what
  // is free already counts towards it.
  const Tokens want = options_.extrapolates_ ? recent - left : recent;
  return ledger::AcquireGrant{ aBudget, want, 1, true };
}

void
GrantTable::SetFloor(const std::string& aBudget, Tokens aFloor)
{
  entries_[aBudget].floor_ = aFloor;
}

Tokens
GrantTable::Lend(const std::string& aBudget, Tokens aWant, Tokens aMinimum)
{
  const auto found = entries_.find(aBudget);
  if (found == entries_.end() || aMinimum < 1) {
    return 0;
  }
  Entry& entry = found->second;
  const Tokens free = entry.granted_ - entry.reserved_;
  if (free < aMinimum) {
    return 0;
  }
  const Tokens lent = std::max(aMinimum, std::min(aWant, free / 2));
  entry.granted_ -= lent;
  return lent;
}

Tokens
GrantTable::RecentUseOf(const std::string& aBudget, int64_t aNowMs) const
{
  const auto found = entries_.find(aBudget);
  return found == entries_.end() ? 0 : RecentUse(found->second, aNowMs);
}

void
GrantTable::OnDenied(const std::string& aBudget, int64_t aNowMs)
{
  entries_[aBudget].exactUntilMs_ = aNowMs + options_.exactAmountsMs_;
}

ledger::ReturnGrant
GrantTable::TakeFree(const std::string& aBudget, Entry& aEntry, Tokens aKept)
{
  const Tokens returned =
    std::max(Tokens{ 0 }, aEntry.granted_ - aEntry.reserved_ - aKept);
  aEntry.granted_ -= returned;
  return { aBudget, returned };
}

std::optional<ledger::ReturnGrant>
GrantTable::Recall(const std::string& aBudget, int64_t aNowMs, Tokens aKept)
{
  const auto found = entries_.find(aBudget);
  if (found == entries_.end()) {
    return std::nullopt;
  }
  found->second.exactUntilMs_ = aNowMs + options_.exactAmountsMs_;
  const auto returned = TakeFree(aBudget, found->second, aKept);
  return returned.amount_ > 0 ? std::optional(returned) : std::nullopt;
}

std::vector<ledger::ReturnGrant>
GrantTable::ReturnIdle(int64_t aNowMs)
{
  std::vector<ledger::ReturnGrant> returns;
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    if (aNowMs - entry->second.lastUseMs_ <= options_.idleTimeoutMs_) {
      ++entry;
      continue;
    }
    const Tokens floor = entry->second.floor_;
    const auto returned = TakeFree(entry->first, entry->second, floor);
    if (returned.amount_ > 0) {
      returns.push_back(returned);
    }
    const bool empty = entry->second.granted_ == 0 && floor == 0;
    entry = empty ? entries_.erase(entry) : std::next(entry);
  }
  return returns;
}

std::vector<ledger::ReturnGrant>
GrantTable::ReturnAll()
{
  std::vector<ledger::ReturnGrant> returns;
  for (auto& [budget, entry] : entries_) {
    const auto returned = TakeFree(budget, entry);
    if (returned.amount_ > 0) {
      returns.push_back(returned);
    }
  }
  return returns;
}

std::vector<std::string>
GrantTable::Budgets() const
{
  std::vector<std::string> names;
  names.reserve(entries_.size());
  for (const auto& [budget, entry] : entries_) {
    names.push_back(budget);
  }
  return names;
}

Tokens
GrantTable::Free(const std::string& aBudget) const
{
  const auto found = entries_.find(aBudget);
  return found == entries_.end()
           ? 0
           : found->second.granted_ - found->second.reserved_;
}

Tokens
GrantTable::Granted(const std::string& aBudget) const
{
  const auto found = entries_.find(aBudget);
  return found == entries_.end() ? 0 : found->second.granted_;
}

} // namespace cactuswick::routing

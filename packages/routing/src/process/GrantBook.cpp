#include "cactuswick/routing/process/GrantBook.h"

#include <algorithm>

namespace cactuswick::routing {

namespace {

/// A past shorter than this says little about a rate.
constexpr int64_t kShortestPastMs = 2'500;
constexpr int64_t kPercent = 100;

} // namespace

GrantBook::GrantBook(GrantBookOptions aOptions)
  : options_(aOptions)
{
}

bool
GrantBook::Reserve(const std::string& aBudget, Tokens aAmount, int64_t aNowMs)
{
  const auto found = lines_.find(aBudget);
  if (found == lines_.end()) {
    return aAmount == 0;
  }
  Line& line = found->second;
  line.lastUseMs_ = aNowMs;
  if (line.windowStartMs_ == 0) {
    line.windowStartMs_ = aNowMs;
  }
  if (aAmount > line.granted_ - line.reserved_) {
    return false;
  }
  line.reserved_ += aAmount;
  if (aNowMs - line.windowStartMs_ > options_.horizonMs_) {
    const bool adjacent =
      aNowMs - line.windowStartMs_ <= 2 * options_.horizonMs_;
    line.spentBefore_ = adjacent ? line.spentInWindow_ : 0;
    line.spentInWindow_ = 0;
    line.windowStartMs_ = aNowMs;
  }
  line.spentInWindow_ += aAmount;
  return true;
}

void
GrantBook::Release(const std::string& aBudget, Tokens aAmount)
{
  const auto found = lines_.find(aBudget);
  if (found != lines_.end()) {
    found->second.reserved_ =
      std::max(Tokens{ 0 }, found->second.reserved_ - aAmount);
  }
}

void
GrantBook::Spend(const std::string& aBudget, Tokens aAmount)
{
  const auto found = lines_.find(aBudget);
  if (found != lines_.end()) {
    Release(aBudget, aAmount);
    found->second.granted_ -= aAmount;
  }
}

void
GrantBook::OnGranted(const std::string& aBudget, Tokens aAmount)
{
  lines_[aBudget].granted_ += aAmount;
}

ledger::AcquireGrant
GrantBook::Ask(const std::string& aBudget,
               Tokens aMinimum,
               int64_t aNowMs,
               Tokens aAll) const
{
  ledger::AcquireGrant ask{ aBudget, std::max(aMinimum, aAll), aMinimum };
  const auto found = lines_.find(aBudget);
  if (found == lines_.end()) {
    return ask;
  }
  const Line& line = found->second;
  const Tokens free = line.granted_ - line.reserved_;
  ask.minimum_ = std::max(Tokens{ 1 }, aMinimum - free);
  ask.want_ = std::max(ask.minimum_, aAll - free);
  const bool exact = aNowMs < line.recalledUntilMs_;
  if (!exact && !options_.extrapolates_) {
    ask.want_ = std::max(ask.want_, RecentUse(line, aNowMs));
  }
  return ask;
}

bool
GrantBook::IsShort(const std::string& aBudget,
                   int64_t aSpanMs,
                   int64_t aNowMs) const
{
  return Free(aBudget) * options_.horizonMs_ <
         RecentUseOf(aBudget, aNowMs) * aSpanMs;
}

Tokens
GrantBook::RecentUse(const Line& aLine, int64_t aNowMs) const
{
  const Tokens seen = std::max(aLine.spentInWindow_, aLine.spentBefore_);
  if (!options_.extrapolates_) {
    return seen;
  }
  const int64_t elapsed = std::clamp(
    aNowMs - aLine.windowStartMs_, kShortestPastMs, options_.horizonMs_);
  const Tokens rate = aLine.spentBefore_ > 0
                        ? 0
                        : aLine.spentInWindow_ * options_.horizonMs_ / elapsed;
  const Tokens target =
    std::max(seen, rate) * options_.marginPercent_ / kPercent;
  return std::max(target, aLine.floor_);
}

std::optional<ledger::AcquireGrant>
GrantBook::Refill(const std::string& aBudget,
                  int64_t aNowMs,
                  Tokens aComing) const
{
  const auto found = lines_.find(aBudget);
  if (found == lines_.end() || aNowMs < found->second.recalledUntilMs_) {
    return std::nullopt;
  }
  const Line& line = found->second;
  const Tokens recent = RecentUse(line, aNowMs);
  const Tokens left = line.granted_ - line.reserved_ + aComing;
  if (kPercent * left >= options_.refillPercent_ * recent) {
    return std::nullopt;
  }
  // What is left counts where the whole horizon is to be covered at all times.
  const Tokens want = options_.extrapolates_ ? recent - left : recent;
  return ledger::AcquireGrant{ aBudget, want, 1, true };
}

void
GrantBook::SetFloor(const std::string& aBudget, Tokens aFloor)
{
  lines_[aBudget].floor_ = aFloor;
}

Tokens
GrantBook::Lend(const std::string& aBudget, Tokens aWant, Tokens aMinimum)
{
  const auto found = lines_.find(aBudget);
  if (found == lines_.end() || aMinimum < 1) {
    return 0;
  }
  Line& line = found->second;
  const Tokens free = line.granted_ - line.reserved_;
  if (free < aMinimum) {
    return 0;
  }
  const Tokens lent = std::max(aMinimum, std::min(aWant, free / 2));
  line.granted_ -= lent;
  return lent;
}

Tokens
GrantBook::RecentUseOf(const std::string& aBudget, int64_t aNowMs) const
{
  const auto found = lines_.find(aBudget);
  return found == lines_.end() ? 0 : RecentUse(found->second, aNowMs);
}

void
GrantBook::OnDenied(const std::string& aBudget, int64_t aNowMs)
{
  lines_[aBudget].recalledUntilMs_ = aNowMs + options_.recallMs_;
}

ledger::ReturnGrant
GrantBook::GiveUp(const std::string& aBudget, Line& aLine, Tokens aKept)
{
  const Tokens given =
    std::max(Tokens{ 0 }, aLine.granted_ - aLine.reserved_ - aKept);
  aLine.granted_ -= given;
  return { aBudget, given };
}

std::optional<ledger::ReturnGrant>
GrantBook::Recall(const std::string& aBudget, int64_t aNowMs, Tokens aKept)
{
  const auto found = lines_.find(aBudget);
  if (found == lines_.end()) {
    return std::nullopt;
  }
  found->second.recalledUntilMs_ = aNowMs + options_.recallMs_;
  const auto given = GiveUp(aBudget, found->second, aKept);
  return given.amount_ > 0 ? std::optional(given) : std::nullopt;
}

std::vector<ledger::ReturnGrant>
GrantBook::CollectIdle(int64_t aNowMs)
{
  std::vector<ledger::ReturnGrant> given;
  for (auto line = lines_.begin(); line != lines_.end();) {
    if (aNowMs - line->second.lastUseMs_ <= options_.idleMs_) {
      ++line;
      continue;
    }
    const Tokens floor = line->second.floor_;
    const auto one = GiveUp(line->first, line->second, floor);
    if (one.amount_ > 0) {
      given.push_back(one);
    }
    const bool empty = line->second.granted_ == 0 && floor == 0;
    line = empty ? lines_.erase(line) : std::next(line);
  }
  return given;
}

std::vector<ledger::ReturnGrant>
GrantBook::ReturnAll()
{
  std::vector<ledger::ReturnGrant> given;
  for (auto& [budget, line] : lines_) {
    const auto one = GiveUp(budget, line);
    if (one.amount_ > 0) {
      given.push_back(one);
    }
  }
  return given;
}

std::vector<std::string>
GrantBook::Budgets() const
{
  std::vector<std::string> names;
  names.reserve(lines_.size());
  for (const auto& [budget, line] : lines_) {
    names.push_back(budget);
  }
  return names;
}

Tokens
GrantBook::Free(const std::string& aBudget) const
{
  const auto found = lines_.find(aBudget);
  return found == lines_.end()
           ? 0
           : found->second.granted_ - found->second.reserved_;
}

Tokens
GrantBook::Granted(const std::string& aBudget) const
{
  const auto found = lines_.find(aBudget);
  return found == lines_.end() ? 0 : found->second.granted_;
}

} // namespace cactuswick::routing

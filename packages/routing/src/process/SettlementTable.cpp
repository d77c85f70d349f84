#include "cactuswick/routing/process/SettlementTable.h"

#include <algorithm>
#include <utility>

namespace cactuswick::routing {

int64_t
SettlementTable::Add(ledger::Settle aSettle)
{
  aSettle.number_ = ++lastNumber_;
  pending_[lastNumber_] = std::move(aSettle);
  return lastNumber_;
}

std::optional<ledger::Settle>
SettlementTable::OnCommitted(int64_t aNumber)
{
  const auto found = pending_.find(aNumber);
  if (found == pending_.end()) {
    return std::nullopt;
  }
  ledger::Settle settle = std::move(found->second);
  pending_.erase(found);
  backups_.erase(aNumber);
  return settle;
}

bool
SettlementTable::OnCopied(int64_t aNumber, ledger::Incarnation aBackup)
{
  if (!pending_.contains(aNumber)) {
    return false;
  }
  backups_[aNumber] = aBackup;
  return true;
}

void
SettlementTable::OnBackupLost(ledger::Incarnation aBackup)
{
  std::erase_if(backups_,
                [&](const auto& aPair) { return aPair.second == aBackup; });
}

std::vector<ledger::Settle>
SettlementTable::Uncopied() const
{
  std::vector<ledger::Settle> uncopied;
  for (const auto& [number, settle] : pending_) {
    if (!backups_.contains(number)) {
      uncopied.push_back(settle);
    }
  }
  return uncopied;
}

int64_t
SettlementTable::CommittedThrough() const
{
  return pending_.empty() ? lastNumber_ : pending_.begin()->first - 1;
}

std::optional<ledger::LogTimeMs>
SettlementTable::OldestStart() const
{
  std::optional<ledger::LogTimeMs> oldest;
  for (const auto& [number, settle] : pending_) {
    oldest = std::min(oldest.value_or(settle.startedMs_), settle.startedMs_);
  }
  return oldest;
}

std::vector<int64_t>
SettlementTable::StoreCopies(ledger::Incarnation aHolder,
                             const std::vector<ledger::Settle>& aSettlements)
{
  std::vector<int64_t> numbers;
  for (const auto& settle : aSettlements) {
    copies_[aHolder][settle.number_] = settle;
    numbers.push_back(settle.number_);
  }
  return numbers;
}

void
SettlementTable::DropCopiesThrough(ledger::Incarnation aHolder,
                                   int64_t aThrough)
{
  const auto found = copies_.find(aHolder);
  if (found == copies_.end()) {
    return;
  }
  auto& copies = found->second;
  copies.erase(copies.begin(), copies.upper_bound(aThrough));
  if (copies.empty()) {
    copies_.erase(found);
  }
}

std::vector<ledger::Settle>
SettlementTable::CopiesFor(ledger::Incarnation aHolder) const
{
  std::vector<ledger::Settle> settlements;
  const auto found = copies_.find(aHolder);
  if (found == copies_.end()) {
    return settlements;
  }
  for (const auto& [number, settle] : found->second) {
    settlements.push_back(settle);
  }
  return settlements;
}

void
SettlementTable::DropAllCopies(ledger::Incarnation aHolder)
{
  copies_.erase(aHolder);
}

} // namespace cactuswick::routing

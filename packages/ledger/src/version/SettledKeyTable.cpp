#include "cactuswick/ledger/version/SettledKeyTable.h"

#include <algorithm>
#include <string>

#include "cactuswick/model/process/Hash.h"
#include "cactuswick/model/process/Text.h"

namespace cactuswick::ledger {

namespace {

constexpr uint64_t kSecondSeed = 0x9e3779b97f4a7c15;

} // namespace

KeyHash
HashKey(std::string_view aWorkspace,
        std::string_view aKey,
        int64_t aFingerprint)
{
  // Workspace names contain no slash, so the concatenation is unambiguous.
  const std::string text =
    model::Concat(aWorkspace, "/", aFingerprint, "/", aKey);
  return { model::Hash64(text), model::Hash64(text, kSecondSeed) };
}

std::optional<FirstSettlement>
SettledKeyTable::Find(const KeyHash& aKey) const
{
  const auto found = byKey_.find(aKey);
  if (found == byKey_.end()) {
    return std::nullopt;
  }
  return found->second;
}

void
SettledKeyTable::Add(const Item& aItem, const FirstSettlement& aSettlement)
{
  byKey_.emplace(aItem.key_, aSettlement);
  items_.push_back(aItem);
  if (items_.size() > kMaxKeys) {
    EvictOldest();
  }
}

void
SettledKeyTable::SetAmount(const KeyHash& aKey, Tokens aAmount)
{
  byKey_[aKey].amount_ = aAmount;
}

void
SettledKeyTable::EvictBefore(LogTimeMs aTimeMs)
{
  while (!items_.empty() && items_.front().atMs_ < aTimeMs) {
    EvictOldest();
  }
}

void
SettledKeyTable::EvictOldest()
{
  const Item& oldest = items_.front();
  evictedThroughMs_ = std::max(evictedThroughMs_, oldest.atMs_);
  byKey_.erase(oldest.key_);
  items_.pop_front();
}

} // namespace cactuswick::ledger

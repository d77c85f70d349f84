#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>

#include <absl/container/flat_hash_map.h>

#include "cactuswick/ledger/request/RouterOp.h"

namespace cactuswick::ledger {

/// 128-bit hash of a billed request's key; wide enough to ignore collisions.
struct KeyHash
{
  uint64_t high_ = 0;
  uint64_t low_ = 0;

  bool operator==(const KeyHash&) const = default;

  template<class H>
  friend H AbslHashValue(H aState, const KeyHash& aKey)
  {
    return H::combine(std::move(aState), aKey.high_, aKey.low_);
  }
};

/// Hashes a workspace, an idempotency key and a body fingerprint together.
KeyHash
HashKey(std::string_view aWorkspace,
        std::string_view aKey,
        int64_t aFingerprint);

/// The first settlement of a key, with the total amount billed for the key.
struct FirstSettlement
{
  Incarnation holder_ = 0;
  int64_t number_ = 0;
  Tokens amount_ = 0;

  bool operator==(const FirstSettlement&) const = default;
};

/// The recently billed keys, in order of log time, for deduplication.
class SettledKeyTable
{
public:
  /// A key and the log time at which it was billed.
  struct Item
  {
    KeyHash key_;
    LogTimeMs atMs_ = 0;

    bool operator==(const Item&) const = default;
  };

  /// Maximum number of keys; beyond it the oldest are evicted.
  static constexpr size_t kMaxKeys = 4'000'000;

  std::optional<FirstSettlement> Find(const KeyHash& aKey) const;

  /// Adds a billed key; its time must not be before that of the last one.
  void Add(const Item& aItem, const FirstSettlement& aSettlement);

  /// Sets the total amount billed for a key.
  void SetAmount(const KeyHash& aKey, Tokens aAmount);

  /// Evicts keys billed before @p aTimeMs.
  void EvictBefore(LogTimeMs aTimeMs);

  /// Billing time of the newest evicted key. The key of a request started at or
  /// before it may have been evicted.
  LogTimeMs EvictedThrough() const { return evictedThroughMs_; }
  void SetEvictedThrough(LogTimeMs aTimeMs) { evictedThroughMs_ = aTimeMs; }

  size_t Size() const { return byKey_.size(); }
  const std::deque<Item>& Items() const { return items_; }

private:
  void EvictOldest();

  absl::flat_hash_map<KeyHash, FirstSettlement> byKey_;
  std::deque<Item> items_;
  LogTimeMs evictedThroughMs_ = -1;
};

} // namespace cactuswick::ledger

#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>

#include <absl/container/flat_hash_map.h>

#include "cactuswick/ledger/request/RouterOp.h"

namespace cactuswick::ledger {

/// 128-bit hash of one billed request's key; collisions are negligible.
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

/// Hashes workspace, idempotency key and body fingerprint together.
KeyHash
HashKey(std::string_view aWorkspace,
        std::string_view aKey,
        int64_t aFingerprint);

/// The settlement that billed a key first, and all that was billed for it.
struct FirstSettlement
{
  Incarnation holder_ = 0;
  int64_t number_ = 0;
  Tokens amount_ = 0;

  bool operator==(const FirstSettlement&) const = default;
};

/// Remembers which keys were billed, in order of log time, within a horizon.
class SettledKeyTable
{
public:
  /// One remembered key and when it was billed.
  struct Item
  {
    KeyHash key_;
    LogTimeMs atMs_ = 0;

    bool operator==(const Item&) const = default;
  };

  /// Most keys kept; the oldest are forgotten beyond it.
  static constexpr size_t kMaxKeys = 4'000'000;

  std::optional<FirstSettlement> Find(const KeyHash& aKey) const;

  /// Adds a key billed at @p aAtMs, which never falls.
  void Add(const Item& aItem, const FirstSettlement& aSettlement);

  /// Notes that more was billed for a key.
  void SetAmount(const KeyHash& aKey, Tokens aAmount);

  /// Forgets keys billed before @p aTimeMs.
  void EvictBefore(LogTimeMs aTimeMs);

  /// A request started at or before this time may have a forgotten key.
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

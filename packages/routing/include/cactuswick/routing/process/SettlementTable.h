#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cactuswick/ledger/request/RouterOp.h"

namespace cactuswick::routing {

/// Settlements of one router that the ledger hasn't committed yet, and the
/// copies of settlements that it stores for other routers as their backup.
class SettlementTable
{
public:
  /// Adds the settlement of a finished request; returns its number.
  int64_t Add(ledger::Settle aSettle);

  /// Removes a settlement that the ledger has acknowledged and returns it;
  /// nullopt when it isn't pending.
  std::optional<ledger::Settle> OnCommitted(int64_t aNumber);

  /// Records that a router in another failure domain stores a copy; returns
  /// false when the settlement isn't pending.
  bool OnCopied(int64_t aNumber, ledger::Incarnation aBackup);
  /// Records that a backup router may have lost its copies.
  void OnBackupLost(ledger::Incarnation aBackup);

  const std::map<int64_t, ledger::Settle>& Pending() const { return pending_; }
  /// Returns the pending settlements without a copy at another router.
  std::vector<ledger::Settle> Uncopied() const;
  /// Returns whether a backup router stores a copy of a pending settlement.
  bool HasRemoteCopies() const { return !backups_.empty(); }
  /// Returns the highest number up to which all settlements are committed.
  int64_t CommittedThrough() const;
  /// Returns the earliest request start among the pending settlements.
  std::optional<ledger::LogTimeMs> OldestStart() const;

  /// Stores copies for another router; returns their numbers.
  std::vector<int64_t> StoreCopies(
    ledger::Incarnation aHolder,
    const std::vector<ledger::Settle>& aSettlements);
  /// Drops the copies up to number @p aThrough, which their holder has
  /// settled with the ledger itself.
  void DropCopiesThrough(ledger::Incarnation aHolder, int64_t aThrough);
  /// Returns the copies stored for a holder, to submit after it has ended.
  std::vector<ledger::Settle> CopiesFor(ledger::Incarnation aHolder) const;
  /// Drops all copies stored for a holder.
  void DropAllCopies(ledger::Incarnation aHolder);

private:
  int64_t lastNumber_ = 0;
  std::map<int64_t, ledger::Settle> pending_;
  /// Backup router of a settlement, by number.
  std::map<int64_t, ledger::Incarnation> backups_;
  /// Copies stored for other routers, by holder and settlement number.
  std::map<ledger::Incarnation, std::map<int64_t, ledger::Settle>> copies_;
};

} // namespace cactuswick::routing

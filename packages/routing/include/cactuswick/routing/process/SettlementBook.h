#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cactuswick/ledger/request/RouterOp.h"

namespace cactuswick::routing {

/// Settlements of one router that the ledger has not committed yet, and the
/// copies that it keeps for other routers.
class SettlementBook
{
public:
  /// Takes a finished request; returns its settlement number.
  int64_t Add(ledger::Settle aSettle);

  /// Removes a settlement that the ledger has answered.
  std::optional<ledger::Settle> Committed(int64_t aNumber);

  /// Notes that a router in another failure domain keeps a copy; false when
  /// the settlement is not pending.
  bool Copied(int64_t aNumber, ledger::Incarnation aKeeper);
  /// Forgets the copies at a router that may have lost them.
  void KeeperLost(ledger::Incarnation aKeeper);

  const std::map<int64_t, ledger::Settle>& Pending() const { return pending_; }
  /// Pending settlements that nobody has a copy of.
  std::vector<ledger::Settle> Uncopied() const;
  bool HasCopiesOut() const { return !keepers_.empty(); }
  /// Every settlement numbered up to this one is committed.
  int64_t CommittedThrough() const;
  /// Oldest start among the pending ones.
  std::optional<ledger::LogTimeMs> OldestStart() const;

  /// Keeps copies for another router; returns their numbers.
  std::vector<int64_t> Keep(ledger::Incarnation aHolder,
                            const std::vector<ledger::Settle>& aSettlements);
  /// Drops copies that their holder has handed in itself.
  void Drop(ledger::Incarnation aHolder, int64_t aThrough);
  /// Copies kept for a holder, to hand in after its death.
  std::vector<ledger::Settle> KeptFor(ledger::Incarnation aHolder) const;
  void ForgetHolder(ledger::Incarnation aHolder);

private:
  int64_t lastNumber_ = 0;
  std::map<int64_t, ledger::Settle> pending_;
  std::map<int64_t, ledger::Incarnation> keepers_;
  std::map<ledger::Incarnation, std::map<int64_t, ledger::Settle>> kept_;
};

} // namespace cactuswick::routing

// Ledger: router incarnations, the grants of ended ones, and order leases.

#include "cactuswick/ledger/version/Ledger.h"

#include <algorithm>

namespace cactuswick::ledger {

namespace {

constexpr size_t kMinNonceBytes = 8;

} // namespace

void
Ledger::MarkRouterChanged(RouterRecord& aRouter)
{
  counters_.routersRevision_ = ++counters_.revision_;
  aRouter.revision_ = counters_.revision_;
}

void
Ledger::RemoveRouter(Incarnation aIncarnation)
{
  routers_.erase(aIncarnation);
  counters_.routersRevision_ = ++counters_.revision_;
  counters_.lastRemovalRevision_ = counters_.revision_;
}

Reply
Ledger::On(const RegisterRouter& aCommand)
{
  if (aCommand.vm_.empty() || aCommand.nonce_.size() < kMinNonceBytes) {
    return Rejected{ model::ErrorKind::kMalformed,
                     aCommand.vm_.empty() ? "vm" : "nonce",
                     "too short or empty" };
  }
  std::vector<Incarnation> predecessors;
  for (const auto& [incarnation, router] : routers_) {
    if (router.vm_ != aCommand.vm_ || router.state_ == RouterState::kEnded) {
      continue;
    }
    if (router.nonce_ == aCommand.nonce_) {
      return Registered{ incarnation, counters_.revision_, counters_.timeMs_ };
    }
    predecessors.push_back(incarnation);
  }
  const Incarnation incarnation = ++counters_.lastIncarnation_;
  // End the predecessors first, so that they do not wait for copies at the new
  // process, which has none.
  for (const Incarnation predecessor : predecessors) {
    EndIncarnation(predecessor);
  }
  routers_[incarnation] =
    RouterRecord{ .incarnation_ = incarnation,
                  .vm_ = aCommand.vm_,
                  .failureDomain_ = aCommand.failureDomain_,
                  .region_ = aCommand.region_,
                  .address_ = aCommand.address_,
                  .peerAddress_ = aCommand.peerAddress_,
                  .nonce_ = aCommand.nonce_,
                  .settledBeforeMs_ = counters_.timeMs_,
                  .lastSeenMs_ = counters_.timeMs_,
                  .reportsLate_ = aCommand.reportsLate_ };
  MarkRouterChanged(routers_[incarnation]);
  return Registered{ incarnation, counters_.revision_, counters_.timeMs_ };
}

Reply
Ledger::On(const EndRouter& aCommand)
{
  if (const Reply* earlier = FindReply(aCommand.requestId_)) {
    return *earlier;
  }
  const auto found = routers_.find(aCommand.incarnation_);
  if (found == routers_.end() || found->second.state_ == RouterState::kEnded) {
    return Rejected{ model::ErrorKind::kUnknownResource,
                     "incarnation",
                     "no live router has this incarnation" };
  }
  EndIncarnation(aCommand.incarnation_);
  return StoreReply(aCommand.requestId_,
                    Accepted{ .revision_ = counters_.revision_ });
}

void
Ledger::EndIncarnation(Incarnation aIncarnation)
{
  RouterRecord& dead = routers_[aIncarnation];
  dead.state_ = RouterState::kEnded;
  sessions_.erase(aIncarnation);
  for (const auto& [incarnation, router] : routers_) {
    // A router that reports late leaves no copies of settlements to wait for.
    if (router.state_ != RouterState::kEnded && !dead.reportsLate_) {
      dead.awaiting_.push_back(incarnation);
    }
  }
  for (auto& [key, claim] : claims_) {
    if (claim.holder_ == aIncarnation && claim.state_ == ClaimState::kRunning) {
      claim.state_ = ClaimState::kUnknown;
    }
  }
  // The copies that it held for other dead routers are lost.
  RecordNoCopiesForAll(aIncarnation, true);
  MarkRouterChanged(dead);
  for (auto& [incarnation, router] : routers_) {
    if (router.state_ != RouterState::kEnded) {
      router.copiesLost_ = true;
      router.copiesLostRevision_ = counters_.revision_;
    }
  }
  if (dead.awaiting_.empty()) {
    ReclaimGrants(aIncarnation);
  }
}

void
Ledger::RecordNoCopiesForAll(Incarnation aRouter, bool aCopiesLost)
{
  std::vector<Incarnation> dead;
  for (const auto& [incarnation, router] : routers_) {
    if (router.state_ == RouterState::kEnded) {
      dead.push_back(incarnation);
    }
  }
  for (const Incarnation incarnation : dead) {
    RecordNoCopies(incarnation, aRouter, aCopiesLost);
  }
}

void
Ledger::RecordNoCopies(Incarnation aDead, Incarnation aRouter, bool aCopiesLost)
{
  const auto found = routers_.find(aDead);
  if (found == routers_.end()) {
    return;
  }
  RouterRecord& dead = found->second;
  const auto removed = std::erase(dead.awaiting_, aRouter);
  if (removed == 0) {
    return;
  }
  dead.copiesLost_ = dead.copiesLost_ || aCopiesLost;
  if (dead.awaiting_.empty()) {
    ReclaimGrants(aDead);
  }
}

void
Ledger::ReclaimGrants(Incarnation aDead)
{
  const RouterRecord& dead = routers_[aDead];
  const bool held = dead.copiesLost_ || dead.reportsLate_;
  std::vector<std::string> budgets;
  for (const auto& [budget, shares] : grants_) {
    const bool holds =
      std::any_of(shares.begin(), shares.end(), [&](const GrantShare& aShare) {
        return aShare.holder_ == aDead;
      });
    if (holds) {
      budgets.push_back(budget);
    }
  }
  for (const auto& budget : budgets) {
    Tokens* share = FindShare(budget, aDead);
    Account& account = accounts_[budget];
    account.granted_ -= *share;
    if (held) {
      HoldForDead(account, *share);
    }
    *share = 0;
    DropEmptyShare(budget, aDead);
  }
  RemoveRouter(aDead);
}

OpResult
Ledger::OnOp(Incarnation aRouter, const BeginOrder& aOp)
{
  OrderRecord& record = orders_[aOp.endpoint_];
  if (aOp.fence_ <= record.fence_) {
    return OrderResult{ .obsolete_ = true };
  }
  // One order at a time: the holder of the last lease may still be issuing its
  // order.
  const bool busy = record.state_ == OrderState::kRunning &&
                    record.fence_ > 0 &&
                    counters_.timeMs_ - record.atMs_ < kOrderLeaseMs;
  if (busy) {
    return OrderResult{};
  }
  record = {
    aOp.endpoint_, aOp.fence_, aRouter, OrderState::kRunning, counters_.timeMs_
  };
  return OrderResult{ .granted_ = true };
}

OpResult
Ledger::OnOp(Incarnation aRouter, const EndOrder& aOp)
{
  const auto found = orders_.find(aOp.endpoint_);
  if (found != orders_.end() && found->second.fence_ == aOp.fence_ &&
      found->second.holder_ == aRouter) {
    found->second.state_ = aOp.state_;
  }
  return EmptyResult{};
}

OpResult
Ledger::OnOp(Incarnation aRouter, const ConfirmNoCopies& aOp)
{
  RecordNoCopies(aOp.deadRouter_, aRouter, false);
  return EmptyResult{};
}

OpResult
Ledger::OnOp(Incarnation aRouter, const SetDraining&)
{
  RouterRecord& router = routers_[aRouter];
  router.state_ = RouterState::kDraining;
  MarkRouterChanged(router);
  return EmptyResult{};
}

OpResult
Ledger::OnOp(Incarnation aRouter, const DeregisterRouter&)
{
  RecordNoCopiesForAll(aRouter, false);
  // Frees its remaining grants instead of holding them: it has no requests in
  // flight and no pending settlements.
  routers_[aRouter].copiesLost_ = false;
  routers_[aRouter].reportsLate_ = false;
  ReclaimGrants(aRouter);
  sessions_.erase(aRouter);
  return EmptyResult{};
}

OpResult
Ledger::OnOp(Incarnation aRouter, const Heartbeat& aOp)
{
  RouterRecord& router = routers_[aRouter];
  router.appliedRevision_ =
    std::max(router.appliedRevision_, aOp.appliedRevision_);
  router.settledBeforeMs_ = std::clamp(
    aOp.settledBeforeMs_, router.settledBeforeMs_, counters_.timeMs_);
  const bool isCurrent = aOp.appliedRevision_ >= router.copiesLostRevision_;
  if (isCurrent && !aOp.hasRemoteCopies_) {
    router.copiesLost_ = false;
  }
  EvictSettledKeys();
  return EmptyResult{};
}

void
Ledger::EvictSettledKeys()
{
  LogTimeMs oldest = counters_.timeMs_;
  for (const auto& [incarnation, router] : routers_) {
    oldest = std::min(oldest, router.settledBeforeMs_);
  }
  settledKeys_.EvictBefore(oldest - kSettlementHorizonMs);
}

} // namespace cactuswick::ledger

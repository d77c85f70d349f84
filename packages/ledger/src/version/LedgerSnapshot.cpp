// Ledger: snapshot records and configuration changes for routers.

#include "cactuswick/ledger/version/Ledger.h"

#include "cactuswick/model/process/Text.h"

namespace cactuswick::ledger {

ConfigDelta
Ledger::ConfigSince(int64_t aRevision) const
{
  ConfigDelta delta{ .revision_ = counters_.revision_,
                     .timeMs_ = counters_.timeMs_ };
  for (const auto& [key, resource] : resources_) {
    if (resource.revision_ > aRevision) {
      delta.resources_.push_back(resource);
    }
  }
  delta.routersChanged_ = counters_.routersRevision_ > aRevision;
  if (delta.routersChanged_) {
    for (const auto& [incarnation, router] : routers_) {
      if (router.revision_ > aRevision) {
        delta.routers_.push_back(router);
      }
    }
  }
  if (counters_.lastRemovalRevision_ > aRevision) {
    delta.knownRouters_.emplace();
    for (const auto& [incarnation, router] : routers_) {
      delta.knownRouters_->push_back(incarnation);
    }
  }
  if (deployment_.revision_ > aRevision) {
    delta.deployment_ = deployment_;
  }
  for (const auto& [endpoint, retired] : retired_) {
    if (retired.revision_ > aRevision) {
      delta.retired_.push_back(retired);
    }
  }
  if (counters_.quarantineRevision_ > aRevision) {
    delta.quarantine_.emplace();
    for (const auto& [part, record] : quarantine_) {
      delta.quarantine_->push_back(record);
    }
  }
  if (counters_.evacuationRevision_ > aRevision) {
    delta.evacuations_.emplace();
    for (const auto& [domain, record] : evacuations_) {
      delta.evacuations_->push_back(record);
    }
  }
  if (counters_.versionsRevision_ > aRevision) {
    delta.versions_.emplace();
    for (const auto& [service, versions] : versions_) {
      delta.versions_->push_back({ service, versions });
    }
  }
  return delta;
}

void
Ledger::Save(const RecordSink& aSink) const
{
  CountersRecord counters = counters_;
  counters.evictedThroughMs_ = settledKeys_.EvictedThrough();
  aSink(counters);
  for (const auto& [budget, account] : accounts_) {
    aSink(AccountRecord{ budget, account, GrantsOf(budget) });
  }
  for (const auto& [key, resource] : resources_) {
    aSink(resource);
  }
  for (const auto& [incarnation, router] : routers_) {
    aSink(router);
  }
  for (const auto& [incarnation, session] : sessions_) {
    aSink(session);
  }
  for (const auto& item : settledKeys_.Items()) {
    const auto settlement =
      settledKeys_.Find(item.key_).value_or(FirstSettlement{});
    aSink(SettledRecord{ static_cast<int64_t>(item.key_.high_),
                         static_cast<int64_t>(item.key_.low_),
                         settlement.holder_,
                         settlement.number_,
                         settlement.amount_,
                         item.atMs_ });
  }
  for (const auto& [endpoint, order] : orders_) {
    aSink(order);
  }
  if (deployment_.version_ > 0) {
    aSink(deployment_);
  }
  for (const auto& [endpoint, retired] : retired_) {
    aSink(retired);
  }
  for (const auto& [part, record] : quarantine_) {
    aSink(record);
  }
  for (const auto& [domain, record] : evacuations_) {
    aSink(record);
  }
  for (const auto& [service, versions] : versions_) {
    aSink(model::ServiceVersions{ service, versions });
  }
  const auto saveByTime = [&](const auto& aTable, const auto& aKeysByTime) {
    for (const auto& key : aKeysByTime) {
      if (const auto found = aTable.find(key); found != aTable.end()) {
        aSink(found->second);
      }
    }
  };
  saveByTime(claims_, claimsByTime_);
  saveByTime(topUps_, topUpsByTime_);
  saveByTime(operatorReplies_, operatorRequestsByTime_);
}

/// Loads each kind of record into its table.
struct RecordLoader
{
  Ledger& ledger_;

  void operator()(const CountersRecord& aRecord) const
  {
    ledger_.counters_ = aRecord;
    ledger_.settledKeys_.SetEvictedThrough(aRecord.evictedThroughMs_);
  }
  void operator()(const AccountRecord& aRecord) const
  {
    ledger_.accounts_[aRecord.budget_] = aRecord.account_;
    const std::string workspace(model::WorkspaceOfBudget(aRecord.budget_));
    ++ledger_.budgetCountByWorkspace_[workspace];
    if (!aRecord.grants_.empty()) {
      ledger_.grants_[aRecord.budget_] = aRecord.grants_;
    }
  }
  void operator()(const model::Resource& aRecord) const
  {
    ledger_.resources_[model::KeyOf(aRecord.spec_)] = aRecord;
  }
  void operator()(const RouterRecord& aRecord) const
  {
    RouterRecord& router = ledger_.routers_[aRecord.incarnation_];
    router = aRecord;
    // Older snapshots have no revision per router: send all routers once.
    if (router.revision_ == 0) {
      auto& counters = ledger_.counters_;
      router.revision_ = counters.routersRevision_;
      counters.lastRemovalRevision_ = counters.routersRevision_;
    }
  }
  void operator()(const SessionRecord& aRecord) const
  {
    ledger_.sessions_[aRecord.incarnation_] = aRecord;
  }
  void operator()(const SettledRecord& aRecord) const
  {
    ledger_.settledKeys_.Add(
      { { static_cast<uint64_t>(aRecord.high_),
          static_cast<uint64_t>(aRecord.low_) },
        aRecord.atMs_ },
      { aRecord.holder_, aRecord.number_, aRecord.amount_ });
  }
  void operator()(const ClaimRecord& aRecord) const
  {
    const auto key = model::Concat(aRecord.workspace_, "/", aRecord.key_);
    ledger_.claims_[key] = aRecord;
    ledger_.claimsByTime_.push_back(key);
  }
  void operator()(const OrderRecord& aRecord) const
  {
    ledger_.orders_[aRecord.endpoint_] = aRecord;
  }
  void operator()(const DeploymentRecord& aRecord) const
  {
    ledger_.deployment_ = aRecord;
  }
  void operator()(const RetiredRecord& aRecord) const
  {
    ledger_.retired_[aRecord.endpoint_] = aRecord;
  }
  void operator()(const QuarantineRecord& aRecord) const
  {
    ledger_.quarantine_[aRecord.part_] = aRecord;
  }
  void operator()(const EvacuationRecord& aRecord) const
  {
    ledger_.evacuations_[aRecord.failureDomain_] = aRecord;
  }
  void operator()(const model::ServiceVersions& aRecord) const
  {
    ledger_.versions_[aRecord.service_] = aRecord.versions_;
  }
  void operator()(const TopUpRecord& aRecord) const
  {
    ledger_.topUps_[aRecord.id_] = aRecord;
    ledger_.topUpsByTime_.push_back(aRecord.id_);
  }
  void operator()(const OperatorRecord& aRecord) const
  {
    ledger_.operatorReplies_[aRecord.requestId_] = aRecord;
    ledger_.operatorRequestsByTime_.push_back(aRecord.requestId_);
  }
};

void
Ledger::Load(const SnapshotRecord& aRecord)
{
  std::visit(RecordLoader{ *this }, aRecord);
}

} // namespace cactuswick::ledger

#pragma once

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/status/status.h>

#include "cactuswick/ledger/version/Command.h"
#include "cactuswick/ledger/version/SettledKeyTable.h"
#include "cactuswick/ledger/version/Records.h"
#include "cactuswick/model/version/Deployment.h"

namespace cactuswick::ledger {

/// How long callers may retry with the same key after their first attempt.
inline constexpr LogTimeMs kSettlementHorizonMs = 10LL * 60 * 1'000;

/// How long the claim of a non-idempotent call is kept.
inline constexpr LogTimeMs kClaimHorizonMs = 24LL * 3'600 * 1'000;

/// How long an operator's resent request gets the first reply.
inline constexpr LogTimeMs kOperatorHorizonMs = 3'600LL * 1'000;

/// How long the id of a top-up is kept for deduplication.
inline constexpr LogTimeMs kTopUpHorizonMs = 7LL * 24 * 3'600 * 1'000;

/// Lease of a router for issuing an order to an endpoint. Endpoints that do not
/// check fencing tokens get the next order only after it has expired.
inline constexpr LogTimeMs kOrderLeaseMs = 10'000;

/// How long the record of a retired endpoint is kept.
inline constexpr LogTimeMs kRetiredHorizonMs = 10LL * 60 * 1'000;

/// How long a quarantine outlasts the time of its next probe if no request asks
/// for the probe.
inline constexpr LogTimeMs kQuarantineIdleMs = 24LL * 3'600 * 1'000;

/// Factor by which the time between two probes of a quarantined part grows.
inline constexpr int64_t kProbeBackoffFactor = 4;

/// Longest time between two probes of a quarantined part.
inline constexpr LogTimeMs kMaxProbeIntervalMs = 3'600LL * 1'000;

/// Maximum number of quarantined parts; the oldest quarantine gives way.
inline constexpr size_t kMaxQuarantinedParts = 256;

/// Maximum number of failure domains that are evacuated at once.
inline constexpr size_t kMaxEvacuations = 256;

/// Longest name of a failure domain that can be evacuated, in bytes.
inline constexpr size_t kMaxFailureDomainBytes = 256;

/// Maximum number of services with admitted software versions.
inline constexpr size_t kMaxVersionedServices = 1'024;

/// Maximum number of admitted software versions of one service.
inline constexpr size_t kMaxAdmittedVersions = 32;

/// Longest name of a service or a software version that can be admitted, in
/// bytes.
inline constexpr size_t kMaxVersionBytes = 256;

/// Time for which a part of a budget is kept for streams that are taken up
/// again, from when tokens of it are held for a dead router, in milliseconds of
/// log time. As long as origins of streams are kept.
inline constexpr int64_t kTakeUpHorizonMs = 60'000;

/// Maximum number of claims. Further ones are refused: evicting a claim could
/// let a call run twice.
inline constexpr size_t kMaxClaims = 1'000'000;

/// Largest response body stored with a claim, in bytes.
inline constexpr size_t kMaxClaimBodyBytes = 4'096;

/// The replicated state machine: budgets, claims, configuration, routers.
///
/// Deterministic: the same commands at the same log times give the same state
/// and replies on every replica. Performs no I/O.
class Ledger
{
public:
  using RecordSink = std::function<void(const SnapshotRecord&)>;

  /// Applies one committed command at log time @p aTimeMs, which must not
  /// decrease.
  Reply Apply(const Command& aCommand, LogTimeMs aTimeMs);

  LogTimeMs Time() const { return counters_.timeMs_; }
  int64_t Revision() const { return counters_.revision_; }

  /// Returns the configuration changes after @p aRevision, without budgets.
  ConfigDelta ConfigSince(int64_t aRevision) const;

  /// Returns the stored resource, even if deleted, or null. Budgets are
  /// accounts and not found here.
  const model::Resource* FindResource(const std::string& aKey) const;
  const std::map<std::string, model::Resource>& Resources() const
  {
    return resources_;
  }

  /// The active deployment; its version is 0 before the first.
  const DeploymentRecord& Deployment() const { return deployment_; }
  /// Retired endpoint incarnations by endpoint name.
  const std::map<std::string, RetiredRecord>& Retired() const
  {
    return retired_;
  }

  /// Quarantined prompt parts by id.
  const std::map<std::string, QuarantineRecord>& Quarantine() const
  {
    return quarantine_;
  }

  /// Evacuated failure domains by name.
  const std::map<std::string, EvacuationRecord>& Evacuations() const
  {
    return evacuations_;
  }

  /// Admitted software versions by service; services without any are missing.
  const std::map<std::string, std::vector<std::string>>& Versions() const
  {
    return versions_;
  }

  const Account* FindAccount(const std::string& aBudget) const;
  size_t AccountCount() const { return accounts_.size(); }
  /// Returns up to @p aLimit accounts whose names start with @p aPrefix, sorted
  /// by name.
  std::vector<AccountRecord> Accounts(std::string_view aPrefix,
                                      size_t aLimit) const;

  /// Returns how many of the available tokens of a budget are kept for streams
  /// that are taken up again.
  Tokens KeptForTakeUps(const Account& aAccount) const;

  const std::vector<GrantShare>& GrantsOf(const std::string& aBudget) const;

  const std::map<Incarnation, RouterRecord>& Routers() const
  {
    return routers_;
  }
  size_t SettledKeyCount() const { return settledKeys_.Size(); }
  size_t ClaimCount() const { return claims_.size(); }
  const std::map<std::string, OrderRecord>& Orders() const { return orders_; }

  /// Checks every account against its grants; kCorruptStorage on a violation.
  absl::Status CheckInvariants() const;

  /// Passes the whole state to @p aSink, one call per record.
  void Save(const RecordSink& aSink) const;

  /// Loads one record of a snapshot; the ledger must have started empty.
  void Load(const SnapshotRecord& aRecord);

private:
  friend struct RecordLoader;

  Reply On(const ChangeMembers& aCommand);
  Reply On(const ApplyResource& aCommand);
  Reply On(const DeleteResource& aCommand);
  Reply On(const TopUp& aCommand);
  Reply On(const ReleaseHeld& aCommand);
  Reply On(const EndRouter& aCommand);
  Reply On(const RegisterRouter& aCommand);
  Reply On(const RouterBatch& aCommand);
  Reply On(const ReplaceDeployment& aCommand);
  Reply On(const RetireEndpoint& aCommand);
  Reply On(const QuarantinePart& aCommand);
  Reply On(const LiftQuarantine& aCommand);
  Reply On(const StartEvacuation& aCommand);
  Reply On(const FinishEvacuation& aCommand);
  Reply On(const AdmitVersion& aCommand);
  Reply On(const WithdrawVersion& aCommand);

  OpResult OnOp(Incarnation aRouter, const AcquireGrant& aOp);
  OpResult OnOp(Incarnation aRouter, const ReturnGrant& aOp);
  OpResult OnOp(Incarnation aRouter, const Settle& aOp);
  OpResult OnOp(Incarnation aRouter, const Claim& aOp);
  OpResult OnOp(Incarnation aRouter, const ResolveClaim& aOp);
  OpResult OnOp(Incarnation aRouter, const BeginOrder& aOp);
  OpResult OnOp(Incarnation aRouter, const EndOrder& aOp);
  OpResult OnOp(Incarnation aRouter, const ConfirmNoCopies& aOp);
  OpResult OnOp(Incarnation aRouter, const SetDraining& aOp);
  OpResult OnOp(Incarnation aRouter, const DeregisterRouter& aOp);
  OpResult OnOp(Incarnation aRouter, const Heartbeat& aOp);
  OpResult OnOp(Incarnation aRouter, const ReportUsage& aOp);
  OpResult OnOp(Incarnation aRouter, const MoveGrant& aOp);
  OpResult OnOp(Incarnation aRouter, const ProbePart& aOp);
  OpResult OnOp(Incarnation aRouter, const ClearPart& aOp);

  /// Stores and returns the reply to an operator's request.
  Reply StoreReply(const std::string& aRequestId, Reply aReply);
  /// Returns the stored reply to an operator's request, or null.
  const Reply* FindReply(const std::string& aRequestId) const;
  Reply ApplyBudget(const ApplyResource& aCommand);
  Reply DeleteBudget(const DeleteResource& aCommand);
  Reply CheckReferences(const model::Spec& aSpec) const;
  bool HasDependents(const std::string& aWorkspace) const;
  bool ReportsLate(Incarnation aRouter) const;
  bool IsLive(std::string_view aType, std::string_view aName) const;

  Tokens* FindShare(const std::string& aBudget, Incarnation aHolder);
  void AddToShare(const std::string& aBudget,
                  Incarnation aHolder,
                  Tokens aAmount);
  /// Moves tokens from a grant to billed or, with @p aHold, to held. Returns
  /// false if the grant is too small.
  bool TakeFromShare(const std::string& aBudget,
                     Incarnation aHolder,
                     Tokens aAmount,
                     bool aHold);
  void DropEmptyShare(const std::string& aBudget, Incarnation aHolder);
  /// Returns whether several software versions of one service are admitted.
  bool HasSeveralVersions() const;
  /// Holds tokens that a dead router may have used; of a declared budget, some
  /// of the available ones are kept from then on while several versions are
  /// admitted.
  void HoldForDead(Account& aAccount, Tokens aAmount);

  void EndIncarnation(Incarnation aIncarnation);
  /// Stops waiting for copies of @p aDead's settlements at @p aRouter, which
  /// has none or, with @p aCopiesLost, died itself. Reclaims the grants of
  /// @p aDead when it was the last one.
  void RecordNoCopies(Incarnation aDead, Incarnation aRouter, bool aCopiesLost);
  /// Calls RecordNoCopies() for every dead router.
  void RecordNoCopiesForAll(Incarnation aRouter, bool aCopiesLost);
  /// Frees or holds the grants of a dead router and removes it.
  void ReclaimGrants(Incarnation aDead);
  /// Gives a router a new revision, so that all routers get the change.
  void MarkRouterChanged(RouterRecord& aRouter);
  void RemoveRouter(Incarnation aIncarnation);

  /// Gives the quarantined parts a new revision, so that all routers get them.
  void MarkQuarantineChanged();
  void ExpireQuarantine();
  void ExpireRecords();
  void EvictSettledKeys();

  CountersRecord counters_;
  absl::flat_hash_map<std::string, Account> accounts_;
  absl::flat_hash_map<std::string, std::vector<GrantShare>> grants_;
  absl::flat_hash_map<std::string, int64_t> budgetCountByWorkspace_;
  std::map<std::string, model::Resource> resources_;
  std::map<Incarnation, RouterRecord> routers_;
  absl::flat_hash_map<Incarnation, SessionRecord> sessions_;
  SettledKeyTable settledKeys_;
  absl::flat_hash_map<std::string, ClaimRecord> claims_;
  std::deque<std::string> claimsByTime_;
  std::map<std::string, OrderRecord> orders_;
  DeploymentRecord deployment_;
  std::map<std::string, RetiredRecord> retired_;
  std::map<std::string, QuarantineRecord> quarantine_;
  std::map<std::string, EvacuationRecord> evacuations_;
  std::map<std::string, std::vector<std::string>> versions_;
  absl::flat_hash_map<std::string, TopUpRecord> topUps_;
  std::deque<std::string> topUpsByTime_;
  absl::flat_hash_map<std::string, OperatorRecord> operatorReplies_;
  std::deque<std::string> operatorRequestsByTime_;
};

} // namespace cactuswick::ledger

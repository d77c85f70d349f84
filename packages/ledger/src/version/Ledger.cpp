#include "cactuswick/ledger/version/Ledger.h"

#include <algorithm>

#include "cactuswick/model/process/Text.h"

namespace cactuswick::ledger {

namespace {

using model::Concat;

/// A grant beyond the minimum takes at most the available tokens divided by
/// this, so that one router cannot exhaust a budget for all others.
constexpr Tokens kGrantShareDivisor = 4;
/// Share of a declared budget that routers may hold in advance: enough to serve
/// for some seconds without the control replicas.
constexpr Tokens kPrefetchPercent = 32;
constexpr Tokens kPercent = 100;
/// Routers may hold at most the remaining tokens divided by this: if all of
/// them die at once, their use is unknown and their grants are held, and the
/// rest must suffice to continue.
constexpr Tokens kRemainingDivisor = 3;

/// Returns how much of a declared budget all routers together may hold in
/// advance.
Tokens
PrefetchLimit(const Account& aAccount)
{
  const Tokens remaining =
    aAccount.toppedUp_ - aAccount.billed_ - aAccount.held_;
  return std::min(aAccount.toppedUp_ * kPrefetchPercent / kPercent,
                  remaining / kRemainingDivisor);
}

std::string
ClaimKey(std::string_view aWorkspace, std::string_view aKey)
{
  return Concat(aWorkspace, "/", aKey);
}

/// Removes keys from the front of @p aKeysByTime, with their records, while
/// they are older than @p aBeforeMs. Keys without a record are removed too.
template<class Table>
void
ExpireOldest(Table& aTable,
             std::deque<std::string>& aKeysByTime,
             LogTimeMs aBeforeMs)
{
  while (!aKeysByTime.empty()) {
    const auto found = aTable.find(aKeysByTime.front());
    if (found != aTable.end() && found->second.atMs_ >= aBeforeMs) {
      return;
    }
    if (found != aTable.end()) {
      aTable.erase(found);
    }
    aKeysByTime.pop_front();
  }
}

} // namespace

Reply
Ledger::Apply(const Command& aCommand, LogTimeMs aTimeMs)
{
  counters_.timeMs_ = std::max(counters_.timeMs_, aTimeMs);
  ExpireRecords();
  return std::visit([this](const auto& aOne) { return On(aOne); }, aCommand);
}

void
Ledger::ExpireRecords()
{
  const LogTimeMs now = counters_.timeMs_;
  ExpireOldest(claims_, claimsByTime_, now - kClaimHorizonMs);
  ExpireOldest(topUps_, topUpsByTime_, now - kTopUpHorizonMs);
  ExpireOldest(
    operatorReplies_, operatorRequestsByTime_, now - kOperatorHorizonMs);
  std::erase_if(retired_, [now](const auto& aPair) {
    return aPair.second.atMs_ < now - kRetiredHorizonMs;
  });
  ExpireQuarantine();
}

Reply
Ledger::On(const ChangeMembers&)
{
  return Accepted{ .revision_ = counters_.revision_ };
}

Reply
Ledger::On(const RouterBatch& aBatch)
{
  const auto router = routers_.find(aBatch.incarnation_);
  if (router == routers_.end() ||
      router->second.state_ == RouterState::kEnded) {
    return Rejected{ model::ErrorKind::kForbidden,
                     "incarnation",
                     "this router incarnation has ended" };
  }
  const Incarnation incarnation = aBatch.incarnation_;
  const auto session = sessions_.find(incarnation);
  if (session != sessions_.end() &&
      aBatch.sequence_ <= session->second.sequence_) {
    if (aBatch.sequence_ == session->second.sequence_) {
      return session->second.reply_;
    }
    return Rejected{ model::ErrorKind::kMalformed,
                     "sequence",
                     "older than the last applied batch" };
  }
  router->second.lastSeenMs_ = counters_.timeMs_;
  BatchReply reply{ .sequence_ = aBatch.sequence_,
                    .timeMs_ = counters_.timeMs_ };
  for (const auto& op : aBatch.ops_) {
    if (!routers_.contains(incarnation)) {
      break;
    }
    reply.results_.push_back(std::visit(
      [&](const auto& aOne) { return OnOp(incarnation, aOne); }, op));
  }
  if (routers_.contains(incarnation)) {
    sessions_[incarnation] = { incarnation, aBatch.sequence_, reply };
  }
  return reply;
}

OpResult
Ledger::OnOp(Incarnation aRouter, const AcquireGrant& aOp)
{
  const auto found = accounts_.find(aOp.budget_);
  if (found == accounts_.end()) {
    return GrantResult{ .budgetExists_ = false };
  }
  Account& account = found->second;
  const Tokens keptForAny = KeptForTakeUps(account);
  const Tokens kept = aOp.takesUp_ ? 0 : keptForAny;
  const Tokens available = account.Available() - kept;
  const Tokens minimum =
    std::clamp(aOp.minimum_, Tokens{ 1 }, model::kMaxTokens);
  GrantResult result{ .available_ = available,
                      .elsewhere_ = account.granted_ + account.held_ + kept,
                      .held_ = account.held_ + kept };
  if (const Tokens* share = FindShare(aOp.budget_, aRouter)) {
    result.elsewhere_ -= *share;
  }
  if (available < minimum) {
    return result;
  }
  Tokens target = std::min(
    aOp.want_, (account.Available() - keptForAny) / kGrantShareDivisor);
  if (account.declared_ && aOp.prefetch_) {
    // Shared by all routers; each request takes at most half of it, so that the
    // first ones leave something for the others.
    const Tokens headroom = PrefetchLimit(account) - account.granted_;
    target = std::min(target, headroom / 2);
    if (target < minimum) {
      return result;
    }
  }
  result.granted_ = std::max(minimum, target);
  result.available_ -= result.granted_;
  account.granted_ += result.granted_;
  AddToShare(aOp.budget_, aRouter, result.granted_);
  // The grant may exactly cover a negative share: usage of a loan that its
  // lender has not reported yet.
  DropEmptyShare(aOp.budget_, aRouter);
  return result;
}

OpResult
Ledger::OnOp(Incarnation aRouter, const ReturnGrant& aOp)
{
  const bool mayBeNegative =
    ReportsLate(aRouter) && accounts_.contains(aOp.budget_);
  if (mayBeNegative && aOp.amount_ > 0) {
    AddToShare(aOp.budget_, aRouter, 0);
  }
  Tokens* share = FindShare(aOp.budget_, aRouter);
  if (share == nullptr) {
    return EmptyResult{};
  }
  // The router may return more than its share: tokens lent by another router
  // arrive in the share only when that router reports the loan.
  const Tokens maximum =
    ReportsLate(aRouter) ? std::max(aOp.amount_, Tokens{ 0 }) : *share;
  const Tokens amount = std::clamp(aOp.amount_, Tokens{ 0 }, maximum);
  *share -= amount;
  accounts_[aOp.budget_].granted_ -= amount;
  DropEmptyShare(aOp.budget_, aRouter);
  return EmptyResult{};
}

OpResult
Ledger::OnOp(Incarnation, const Settle& aOp)
{
  const KeyHash key =
    HashKey(model::WorkspaceOfBudget(aOp.budget_), aOp.key_, aOp.fingerprint_);
  const auto earlier = settledKeys_.Find(key);
  const bool isResend = earlier && earlier->holder_ == aOp.holder_ &&
                        earlier->number_ == aOp.number_;
  if (isResend) {
    return SettleResult{ SettleState::kBilled, earlier->amount_ };
  }
  const Tokens before = earlier ? earlier->amount_ : 0;
  const Tokens charge = std::max(aOp.amount_ - before, Tokens{ 0 });
  const bool tooOld =
    !earlier && aOp.startedMs_ <= settledKeys_.EvictedThrough();
  if (charge > 0 && !TakeFromShare(aOp.budget_, aOp.holder_, charge, tooOld)) {
    return SettleResult{ SettleState::kUnaccounted };
  }
  if (tooOld) {
    return SettleResult{ SettleState::kHeld, charge };
  }
  if (earlier) {
    settledKeys_.SetAmount(key, before + charge);
    return SettleResult{ SettleState::kDuplicate, charge };
  }
  settledKeys_.Add({ key, counters_.timeMs_ },
                   { aOp.holder_, aOp.number_, charge });
  return SettleResult{ SettleState::kBilled, charge };
}

OpResult
Ledger::OnOp(Incarnation aRouter, const ReportUsage& aOp)
{
  const auto account = accounts_.find(aOp.budget_);
  if (account == accounts_.end() || aOp.amount_ <= 0) {
    return SettleResult{ SettleState::kUnaccounted };
  }
  AddToShare(aOp.budget_, aRouter, -aOp.amount_);
  account->second.granted_ -= aOp.amount_;
  account->second.billed_ += aOp.amount_;
  DropEmptyShare(aOp.budget_, aRouter);
  return SettleResult{ SettleState::kBilled, aOp.amount_ };
}

OpResult
Ledger::OnOp(Incarnation aRouter, const MoveGrant& aOp)
{
  const auto account = accounts_.find(aOp.budget_);
  if (account == accounts_.end() || aOp.amount_ <= 0) {
    return EmptyResult{};
  }
  AddToShare(aOp.budget_, aRouter, -aOp.amount_);
  DropEmptyShare(aOp.budget_, aRouter);
  const auto to = routers_.find(aOp.to_);
  if (to != routers_.end() && to->second.state_ != RouterState::kEnded) {
    AddToShare(aOp.budget_, aOp.to_, aOp.amount_);
    DropEmptyShare(aOp.budget_, aOp.to_);
  } else {
    // The recipient has died and its use of the tokens is unknown.
    account->second.granted_ -= aOp.amount_;
    HoldForDead(account->second, aOp.amount_);
  }
  return EmptyResult{};
}

bool
Ledger::ReportsLate(Incarnation aRouter) const
{
  const auto found = routers_.find(aRouter);
  return found != routers_.end() && found->second.reportsLate_;
}

bool
Ledger::TakeFromShare(const std::string& aBudget,
                      Incarnation aHolder,
                      Tokens aAmount,
                      bool aHold)
{
  Tokens* share = FindShare(aBudget, aHolder);
  if (share == nullptr || *share < aAmount) {
    return false;
  }
  *share -= aAmount;
  Account& account = accounts_[aBudget];
  account.granted_ -= aAmount;
  (aHold ? account.held_ : account.billed_) += aAmount;
  DropEmptyShare(aBudget, aHolder);
  return true;
}

OpResult
Ledger::OnOp(Incarnation aRouter, const Claim& aOp)
{
  const std::string key = ClaimKey(aOp.workspace_, aOp.key_);
  const auto found = claims_.find(key);
  if (found != claims_.end()) {
    const ClaimRecord& claim = found->second;
    return ClaimResult{ .keyReused_ = claim.fingerprint_ != aOp.fingerprint_,
                        .state_ = claim.state_,
                        .httpStatus_ = claim.httpStatus_,
                        .body_ = claim.body_ };
  }
  if (claims_.size() >= kMaxClaims) {
    return ClaimResult{ .full_ = true };
  }
  claims_[key] = ClaimRecord{ .workspace_ = aOp.workspace_,
                              .key_ = aOp.key_,
                              .fingerprint_ = aOp.fingerprint_,
                              .holder_ = aRouter,
                              .atMs_ = counters_.timeMs_ };
  claimsByTime_.push_back(key);
  return ClaimResult{ .granted_ = true };
}

OpResult
Ledger::OnOp(Incarnation aRouter, const ResolveClaim& aOp)
{
  const auto found = claims_.find(ClaimKey(aOp.workspace_, aOp.key_));
  if (found == claims_.end() || found->second.holder_ != aRouter) {
    return EmptyResult{};
  }
  if (aOp.state_ == ClaimState::kNotRun) {
    // Nothing was dispatched, so a retry with this key may run. ExpireOldest()
    // removes the stale key from claimsByTime_ later.
    claims_.erase(found);
    return EmptyResult{};
  }
  ClaimRecord& claim = found->second;
  claim.state_ = aOp.state_;
  claim.httpStatus_ = aOp.httpStatus_;
  if (aOp.body_.size() <= kMaxClaimBodyBytes) {
    claim.body_ = aOp.body_;
  }
  return EmptyResult{};
}

const Account*
Ledger::FindAccount(const std::string& aBudget) const
{
  const auto found = accounts_.find(aBudget);
  return found == accounts_.end() ? nullptr : &found->second;
}

const std::vector<GrantShare>&
Ledger::GrantsOf(const std::string& aBudget) const
{
  static const std::vector<GrantShare> kNoShares;
  const auto found = grants_.find(aBudget);
  return found == grants_.end() ? kNoShares : found->second;
}

std::vector<AccountRecord>
Ledger::Accounts(std::string_view aPrefix, size_t aLimit) const
{
  std::vector<AccountRecord> records;
  for (const auto& [budget, account] : accounts_) {
    if (records.size() < aLimit && budget.starts_with(aPrefix)) {
      records.push_back({ budget, account, GrantsOf(budget) });
    }
  }
  std::sort(records.begin(), records.end(), [](const auto& a, const auto& b) {
    return a.budget_ < b.budget_;
  });
  return records;
}

Tokens*
Ledger::FindShare(const std::string& aBudget, Incarnation aHolder)
{
  const auto found = grants_.find(aBudget);
  if (found == grants_.end()) {
    return nullptr;
  }
  for (auto& share : found->second) {
    if (share.holder_ == aHolder) {
      return &share.amount_;
    }
  }
  return nullptr;
}

void
Ledger::AddToShare(const std::string& aBudget,
                   Incarnation aHolder,
                   Tokens aAmount)
{
  if (Tokens* share = FindShare(aBudget, aHolder)) {
    *share += aAmount;
    return;
  }
  grants_[aBudget].push_back({ aHolder, aAmount });
}

void
Ledger::DropEmptyShare(const std::string& aBudget, Incarnation aHolder)
{
  const auto found = grants_.find(aBudget);
  if (found == grants_.end()) {
    return;
  }
  std::erase_if(found->second, [&](const GrantShare& aShare) {
    return aShare.holder_ == aHolder && aShare.amount_ == 0;
  });
  if (found->second.empty()) {
    grants_.erase(found);
  }
}

absl::Status
Ledger::CheckInvariants() const
{
  const auto violation = [](const std::string& aBudget,
                            std::string_view aWhat) {
    return model::MakeError(model::ErrorKind::kCorruptStorage, aBudget, aWhat);
  };
  for (const auto& [budget, account] : accounts_) {
    Tokens granted = 0;
    for (const auto& share : GrantsOf(budget)) {
      granted += share.amount_;
      // A negative share is usage of tokens lent by other routers that have not
      // reported the loan yet.
      if (share.amount_ == 0 ||
          (share.amount_ < 0 && !ReportsLate(share.holder_))) {
        return violation(budget, "a grant is not positive");
      }
      if (!routers_.contains(share.holder_)) {
        return violation(budget, "the holder of a grant does not exist");
      }
    }
    if (granted != account.granted_) {
      return violation(budget, "grants do not sum to the granted total");
    }
    const bool overspent = account.Available() < 0 && !account.declared_;
    // Held tokens are negative until the lender reports its loan to a dead
    // router: the lender's share still counts in full.
    const bool negativeHeld = account.held_ < 0 && !account.declared_;
    if (overspent || account.billed_ < 0 || negativeHeld) {
      return violation(budget, "overspent");
    }
  }
  return absl::OkStatus();
}

} // namespace cactuswick::ledger

#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include <absl/status/status.h>

#include "cactuswick/routing/process/FleetGrants.h"
#include "cactuswick/routing/process/GrantBook.h"
#include "cactuswick/routing/process/SettlementBook.h"
#include "cactuswick/telemetry/process/Metrics.h"
#include "process/ControlClient.h"
#include "process/GrantLoans.h"
#include "process/RouterPeers.h"
#include "version/ConfigView.h"

namespace cactuswick::router {

struct BillerOptions
{
  ControlClient& control_;
  RouterPeers& peers_;
  const ConfigView& config_;
  telemetry::Metrics& metrics_;
  /// Longest wait for a settlement to be committed or copied.
  int64_t settleTimeoutMs_ = 10'000;
  /// Longest wait for a grant, unless control is known to take longer.
  int64_t reserveTimeoutMs_ = 3'000;
  /// Times a grant is asked for while others may still return tokens.
  int64_t maxAttempts_ = 20;
  /// Requests are not settled one by one; what they used is reported at
  /// intervals. Then grants are asked for ahead together, other routers are
  /// asked while control is unreachable, and every wait ends after its time.
  bool reportsUsage_ = false;
  /// Own IP number to connect from.
  std::string from_;
  routing::GrantBookOptions grants_;
};

/// What a wait for a budget depends on, with its age.
struct BudgetWait
{
  /// Requests that wait for the same budget.
  int64_t waiting_ = 0;
  /// Since control was asked for them; 0 without an open ask.
  int64_t askOpenMs_ = 0;
  ControlTimes control_;

  bool operator==(const BudgetWait&) const = default;
};

/// The money side of a router: reserves from its grants before a request
/// runs, settles what the request used, and looks after other routers'
/// copies.
class Biller
{
public:
  using ReserveHook = std::function<void(absl::Status)>;
  /// OK once the settlement can no longer be lost with this router.
  using SettleHook = std::function<void(absl::Status)>;

  Biller(transport::EventLoop& aLoop, const BillerOptions& aOptions);

  /// Reserves tokens; fails with the reason why they cannot be had.
  /// @p aOwner names the request, for CancelReserve.
  void Reserve(const std::string& aBudget,
               ledger::Tokens aAmount,
               int64_t aOwner,
               ReserveHook aHook);
  /// Forgets a reservation that waits; its hook is not called. Those behind it
  /// are served or asked for at once.
  void CancelReserve(int64_t aOwner);
  void Release(const std::string& aBudget, ledger::Tokens aAmount);

  /// Asks for a first grant of a budget, so that a router that is cut off soon
  /// has something to spend.
  void RequestInitialGrant(const std::string& aBudget, ledger::Tokens aWant);

  /// Least amount that is kept of a budget ahead of need.
  void SetFloor(const std::string& aBudget, ledger::Tokens aFloor)
  {
    grants_.SetFloor(aBudget, aFloor);
  }

  /// Takes what a finished request used out of its reservation; it is
  /// reported later, together with others.
  void Use(const std::string& aBudget,
           ledger::Tokens aReserved,
           ledger::Tokens aUsed);

  /// Tokens that may still be reserved here.
  ledger::Tokens Free(const std::string& aBudget) const
  {
    return grants_.Free(aBudget);
  }

  BudgetWait WaitFor(const std::string& aBudget) const;

  /// Settles @c amount_ out of a reservation of @p aReserved tokens.
  void Settle(const ledger::Settle& aSettle,
              ledger::Tokens aReserved,
              SettleHook aHook);

  /// Answers a router that is cut off from control as well.
  transport::LendReply OnLend(const transport::LendRequest& aRequest);

  /// Control wants back what is free. What an open ask counts on is kept until
  /// it is answered, and what covers those that wait in any case.
  void OnRecall(const std::string& aBudget);
  void OnConfig();
  void OnCopiesStored(const transport::CopiesStored& aStored);
  void OnBackupRouterLost(ledger::Incarnation aKeeper);
  std::vector<int64_t> OnCopies(const transport::CopySettlements& aCopies);
  void OnDrop(const transport::DropCopies& aDrop);

  /// Whether a request that finishes now could be settled.
  bool HasSettlementPath() const;
  /// Oldest start of what is not committed; for the heartbeat.
  std::optional<ledger::LogTimeMs> OldestStart() const;
  bool HasCopiesOut() const { return book_.HasCopiesOut(); }
  size_t PendingCount() const { return book_.Pending().size(); }
  /// Returns every free grant, before a goodbye.
  void ReturnAll();

private:
  struct ReserveWaiter
  {
    /// Rises with each that waits.
    int64_t number_ = 0;
    int64_t owner_ = 0;
    ledger::Tokens amount_ = 0;
    int64_t sinceMs_ = 0;
    int64_t attempts_ = 0;
    /// While it is the first, nothing is asked for before then.
    int64_t retryAtMs_ = 0;
    ReserveHook hook_;
  };

  /// An ask that control has not answered yet.
  struct GrantRequest
  {
    ledger::Tokens want_ = 0;
    int64_t sinceMs_ = 0;
  };

  struct BudgetQueue
  {
    std::deque<ReserveWaiter> waiters_;
    /// Those that wait are being served, further up the stack.
    bool serving_ = false;
    /// For those that wait.
    std::optional<GrantRequest> openRequest_;
    /// Control wants back what is free once that ask is answered.
    bool recalled_ = false;
    /// An ask ahead of need is under way.
    bool prefetching_ = false;
    /// Cut off, nobody lent so much; nor will they until then.
    ledger::Tokens refusedLoan_ = 0;
    int64_t refusedLoanUntilMs_ = 0;
  };

  struct SettleWaiter
  {
    SettleHook hook_;
    int64_t deadlineMs_ = 0;
    int64_t startMs_ = 0;
  };

  void OnTick();
  void ReturnIdle(int64_t aNowMs);
  void ReportUsage();
  void PrefetchAll();
  void Borrow(const std::string& aBudget, int64_t aNowMs);
  /// Fails those that wait for @p aMinimum beyond what is free, or for more.
  void OnLoanRefused(const std::string& aBudget, ledger::Tokens aMinimum);
  /// Lends nothing of a budget that requests wait for here.
  ledger::Tokens LendTo(const transport::LendRequest& aRequest);
  /// Submits that a part of the own grant was lent or is returned.
  void SubmitTransfer(const std::string& aBudget,
                      ledger::Tokens aAmount,
                      ledger::RouterOp aOp);
  /// Asks for all that wait, unless such an ask is under way or was just
  /// denied to the first of them.
  void RequestForWaiters(const std::string& aBudget);
  static ledger::Tokens WaitingAmount(const BudgetQueue& aQueue);
  /// What is free and covers some of those that wait.
  ledger::Tokens AmountCoveringWaiters(const std::string& aBudget) const;
  void ReturnRecalled(const std::string& aBudget);
  /// What the open ask brings beyond what those that wait need.
  ledger::Tokens ExpectedSurplus(const std::string& aBudget) const;
  /// Fails all that wait now for @p aMinimum or more. One at a time, as a hook
  /// may cancel others or reserve again.
  void FailWaiters(const std::string& aBudget,
                   ledger::Tokens aMinimum,
                   const absl::Status& aStatus);
  int64_t ReportIntervalMs() const;
  /// Asks for what is short, unless an ask ahead is under way.
  void Prefetch(const std::string& aBudget);
  void SubmitPrefetch(const ledger::AcquireGrant& aAsk);
  void OnPrefetchResult(const std::string& aBudget, ledger::Tokens aGranted);
  /// Takes the answer to an ask for @p aMinimum or more.
  void OnGrant(const std::string& aBudget,
               ledger::Tokens aMinimum,
               const ledger::GrantResult& aResult);
  /// Fails the first that waits if the denial of @p aMinimum leaves it nothing
  /// to wait for; one that needs less is asked for anew.
  void OnDenied(const std::string& aBudget,
                ledger::Tokens aMinimum,
                const ledger::GrantResult& aResult);
  /// Most of a budget that is not billed, from an answer of the ledger. What is
  /// held of it never comes back.
  ledger::Tokens Unbilled(const std::string& aBudget,
                          const ledger::GrantResult& aResult) const;
  /// Whether the rest of a budget does not cover @p aAmount.
  bool IsExhausted(const std::string& aBudget,
                   ledger::Tokens aAmount,
                   const ledger::GrantResult& aResult) const;
  void ServeWaiters(const std::string& aBudget);
  /// Whether control's answer for those that wait is on its way, and no later
  /// than its answers have been lately.
  bool IsReplyExpected(const BudgetQueue& aQueue, int64_t aNowMs) const;
  void FailFirstWaiter(const std::string& aBudget, const absl::Status& aStatus);
  void ExpireReservations(int64_t aNowMs);
  void OnSettled(int64_t aNumber, const ledger::SettleResult& aResult);
  void CountSettled(const ledger::SettleResult& aResult);
  void CompleteSettlement(int64_t aNumber, const absl::Status& aStatus);
  void CopyPending();
  void ExpireSettles(int64_t aNowMs);

  BillerOptions options_;
  routing::GrantBook grants_;
  routing::SettlementBook book_;
  std::map<std::string, BudgetQueue> queues_;
  int64_t lastWaiterNumber_ = 0;
  std::map<int64_t, SettleWaiter> settling_;
  std::set<ledger::Incarnation> confirmed_;
  bool madeCopies_ = false;
  int64_t droppedThrough_ = 0;
  int64_t lastIdleMs_ = 0;
  /// Used and not reported yet, by budget.
  std::map<std::string, ledger::Tokens> unreportedUsage_;
  int64_t lastReportMs_ = 0;
  /// Taken out of the own grants, but not known to be committed: an answer of
  /// the ledger may still count it as this router's, not as elsewhere.
  std::map<std::string, ledger::Tokens> unconfirmedTransfers_;
  GrantLoans loans_;
  transport::Timer tick_;
};

} // namespace cactuswick::router

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include <absl/status/status.h>

#include "cactuswick/routing/process/FleetGrants.h"
#include "cactuswick/routing/process/GrantTable.h"
#include "cactuswick/routing/process/SettlementTable.h"
#include "cactuswick/telemetry/process/Metrics.h"
#include "process/ControlClient.h"
#include "process/GrantDenial.h"
#include "process/GrantLoans.h"
#include "process/GrantPrefetcher.h"
#include "process/GrantTransfers.h"
#include "process/ReservationQueue.h"
#include "process/RouterPeers.h"
#include "version/ConfigView.h"

namespace cactuswick::router {

struct BillerOptions
{
  ControlClient& control_;
  RouterPeers& peers_;
  const ConfigView& config_;
  telemetry::Metrics& metrics_;
  /// Timeout for a settlement to be committed or copied, in milliseconds.
  int64_t settleTimeoutMs_ = 10'000;
  /// Timeout for a reservation, in milliseconds; extended while a reply from
  /// control is expected, judged by its last round trip.
  int64_t reserveTimeoutMs_ = 3'000;
  /// Maximum grant requests for one reservation while other routers may still
  /// return tokens.
  int64_t maxAttempts_ = 20;
  /// Requests are not settled individually; their usage is reported at
  /// intervals. In this mode grants are prefetched for all budgets together,
  /// other routers are asked for loans while control is unreachable, and every
  /// reservation times out.
  bool reportsUsage_ = false;
  /// Local IP address for outgoing connections.
  std::string from_;
  routing::GrantTableOptions grants_;
};

/// Tokens that a request needs before it runs.
struct Reservation
{
  std::string budget_;
  ledger::Tokens amount_ = 0;
  /// Identifies the request for CancelReserve.
  int64_t owner_ = 0;
  /// For a stream that its caller takes up again: served before others, also
  /// from what control keeps for these.
  bool takesUp_ = false;
};

/// State of the reservations that wait for a budget.
struct GrantWaitStatus
{
  /// Number of reservations that wait.
  int64_t waiting_ = 0;
  /// Age of the outstanding grant request for them; 0 if there is none.
  int64_t grantRequestAgeMs_ = 0;
  ControlTimings control_;

  bool operator==(const GrantWaitStatus&) const = default;
};

/// Budget accounting of a router: reserves tokens from its grants before a
/// request runs, settles what the request used, and keeps copies of other
/// routers' settlements.
class Biller
{
public:
  /// Called with OK once the settlement survives the loss of this router.
  using SettleHook = std::function<void(absl::Status)>;

  Biller(transport::EventLoop& aLoop, const BillerOptions& aOptions);

  /// Reserves tokens and calls @p aHook with the result.
  void Reserve(const Reservation& aReservation, ReserveHook aHook);
  /// Cancels a waiting reservation without calling its hook. Those queued
  /// behind it are served or requested at once.
  void CancelReserve(int64_t aOwner);
  void Release(const std::string& aBudget, ledger::Tokens aAmount);

  /// Requests a first grant of a budget, so that a router that soon loses
  /// control has tokens to spend.
  void RequestInitialGrant(const std::string& aBudget, ledger::Tokens aWant)
  {
    prefetcher_.RequestFirst(aBudget, aWant);
  }

  /// Sets the minimum amount of a budget that is kept in advance.
  void SetFloor(const std::string& aBudget, ledger::Tokens aFloor)
  {
    grants_.SetFloor(aBudget, aFloor);
  }

  /// Charges the usage of a finished request to its reservation and releases
  /// the rest. The usage is reported to control later, together with that of
  /// others.
  void RecordUsage(const std::string& aBudget,
                   ledger::Tokens aReserved,
                   ledger::Tokens aUsed);

  /// Returns the tokens that can still be reserved at this router.
  ledger::Tokens Free(const std::string& aBudget) const
  {
    return grants_.Free(aBudget);
  }

  GrantWaitStatus GrantWaitStatusOf(const std::string& aBudget) const;

  /// Settles @c amount_ of @p aSettle out of a reservation of @p aReserved
  /// tokens.
  void Settle(const ledger::Settle& aSettle,
              ledger::Tokens aReserved,
              SettleHook aHook);

  /// Handles a loan request of another router, also while control is
  /// unreachable.
  transport::LendReply OnLend(const transport::LendRequest& aRequest)
  {
    return loans_.OnRequest(aRequest);
  }

  /// Handles control's recall of free tokens. Tokens that an outstanding grant
  /// request relies on are kept until its reply, and tokens that cover waiting
  /// reservations are kept in any case.
  void OnRecall(const std::string& aBudget);
  void OnConfig();
  void OnCopiesStored(const transport::CopiesStored& aStored);
  void OnBackupLost(ledger::Incarnation aBackup);
  std::vector<int64_t> OnCopies(const transport::CopySettlements& aCopies);
  void OnDrop(const transport::DropCopies& aDrop);

  /// Returns whether a request that finishes now could be settled.
  bool HasSettlementPath() const;
  /// Returns the earliest start of an uncommitted settlement, for the
  /// heartbeat.
  std::optional<ledger::LogTimeMs> OldestStart() const;
  bool HasRemoteCopies() const { return book_.HasRemoteCopies(); }
  size_t PendingCount() const { return book_.Pending().size(); }
  /// Returns all free tokens to control, before the router deregisters, and
  /// lends none from then on: the ledger frees what is granted later, and would
  /// not know of a loan from it.
  void ReturnAll();

private:
  /// Grant request that control has not answered yet.
  struct GrantRequest
  {
    ledger::Tokens want_ = 0;
    int64_t sinceMs_ = 0;
  };

  struct BudgetQueue
  {
    ReservationQueue waiters_;
    /// Outstanding request for the waiting reservations.
    std::optional<GrantRequest> openRequest_;
    /// Control has recalled the free tokens; they are returned after that
    /// reply.
    bool recalled_ = false;
    /// Amount that no router would lend while control was unreachable.
    /// Reservations of as much fail immediately until @c refusedLoanUntilMs_.
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
  void Borrow(const std::string& aBudget, int64_t aNowMs);
  /// Fails reservations that need at least @p aMinimum more than is free.
  void OnLoanRefused(const std::string& aBudget, ledger::Tokens aMinimum);
  /// Lends tokens, but none of a budget that local reservations wait for.
  ledger::Tokens LendTo(const transport::LendRequest& aRequest);
  /// Requests a grant for all waiting reservations, unless such a request is in
  /// flight or was just denied to the first of them.
  void RequestForWaiters(const std::string& aBudget);
  void ReturnRecalled(const std::string& aBudget);
  /// Returns what the outstanding request will yield beyond the need of the
  /// waiting reservations.
  ledger::Tokens ExpectedSurplus(const std::string& aBudget) const;
  int64_t ReportIntervalMs() const;
  /// Handles the reply to a request for waiting reservations.
  void OnGrant(const ledger::AcquireGrant& aRequest,
               const ledger::GrantResult& aResult);
  /// Fails the first waiting reservation if the denial of @p aRequest leaves it
  /// no prospect; one that needs less, or may have more, is requested again.
  void OnDenied(const ledger::AcquireGrant& aRequest,
                const ledger::GrantResult& aResult);
  /// Returns what is known of a budget after a denial.
  DeniedBudget DeniedBudgetOf(const std::string& aBudget,
                              const ledger::GrantResult& aResult) const;
  void ServeWaiters(const std::string& aBudget);
  /// Returns whether control's reply for the waiting reservations is still
  /// expected, going by the duration of the last round trip.
  bool IsReplyExpected(const BudgetQueue& aQueue, int64_t aNowMs) const;
  void ExpireReservations(int64_t aNowMs);
  void OnSettled(int64_t aNumber, const ledger::SettleResult& aResult);
  void CountSettled(const ledger::SettleResult& aResult);
  void CompleteSettlement(int64_t aNumber, const absl::Status& aStatus);
  void CopyPending();
  void ExpireSettles(int64_t aNowMs);

  BillerOptions options_;
  routing::GrantTable grants_;
  routing::SettlementTable book_;
  std::map<std::string, BudgetQueue> queues_;
  std::map<int64_t, SettleWaiter> settleWaiters_;
  std::set<ledger::Incarnation> confirmedRouters_;
  bool hasSentCopies_ = false;
  bool returnedAll_ = false;
  int64_t droppedThrough_ = 0;
  int64_t lastIdleCheckMs_ = 0;
  /// Tokens used but not reported yet, by budget.
  std::map<std::string, ledger::Tokens> unreportedUsage_;
  int64_t lastReportMs_ = 0;
  GrantTransfers transfers_;
  GrantLoans loans_;
  GrantPrefetcher prefetcher_;
  transport::Timer tick_;
};

} // namespace cactuswick::router

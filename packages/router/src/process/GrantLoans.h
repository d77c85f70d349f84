#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cactuswick/ledger/version/Records.h"
#include "cactuswick/transport/connection/PeerDialer.h"

namespace cactuswick::router {

struct GrantLoansOptions
{
  /// Local IP address for outgoing connections.
  std::string from_;
  /// Timeout after which the routers asked last count as having refused.
  int64_t replyTimeoutMs_ = 0;
  std::function<ledger::Incarnation()> self_;
  std::function<std::vector<ledger::RouterRecord>()> routers_;
  /// Returns the routers that keep the reserve of a budget; they are asked
  /// first.
  std::function<std::vector<ledger::Incarnation>(const std::string& aBudget)>
    reserveHolders_;
  /// Lends tokens of this router's grant; returns the amount, 0 for a refusal.
  std::function<ledger::Tokens(const transport::LendRequest&)> lend_;
  /// Called with tokens that another router has lent.
  std::function<void(const std::string& aBudget, ledger::Tokens)> onLent_;
  /// Called when no router that was asked lends @p aMinimum.
  std::function<void(const std::string& aBudget, ledger::Tokens aMinimum)>
    onRefused_;
};

/// Borrows parts of grants from other routers while control is unreachable.
///
/// Opens links on demand to a few routers at a time, whatever the size of the
/// fleet, and closes them when idle.
class GrantLoans
{
public:
  GrantLoans(transport::EventLoop& aLoop, GrantLoansOptions aOptions);

  /// Requests tokens of a budget, unless a request for it is in progress.
  void Borrow(const std::string& aBudget,
              ledger::Tokens aWant,
              ledger::Tokens aMinimum);

  /// Returns the maximum that lenders may have lent in replies still in flight.
  ledger::Tokens MaxPendingAmount(const std::string& aBudget) const;

  /// Handles a loan request of another router.
  transport::LendReply OnRequest(const transport::LendRequest& aRequest) const;

private:
  struct Lender
  {
    std::unique_ptr<transport::PeerDialer> dialer_;
    int64_t lastUseMs_ = 0;
    std::vector<transport::LendRequest> queued_;
    /// Requests sent on the current link that have no reply yet.
    std::map<transport::CallId, transport::LendRequest> unanswered_;
  };

  /// One attempt to borrow tokens of a budget, from several routers.
  struct Round
  {
    transport::LendRequest request_;
    std::vector<ledger::Incarnation> candidates_;
    int64_t lastSendMs_ = 0;
    /// Requests of this round without a reply.
    std::set<transport::CallId> outstanding_;
  };

  void SendToNext(Round& aRound, int64_t aCount);
  void SendVia(ledger::Incarnation aLender,
               const transport::LendRequest& aRequest);
  static void SendOnLink(Lender& aLender,
                         const transport::LendRequest& aRequest);
  /// Sends the requests that were queued until the link was up.
  void OnLinkUp(ledger::Incarnation aLender);
  void OnReply(const transport::LendReply& aReply);
  /// Ends a round in which no router lent anything.
  void EndRound(const std::string& aBudget);
  void OnTick();

  transport::EventLoop& loop_;
  GrantLoansOptions options_;
  std::map<ledger::Incarnation, Lender> lenders_;
  std::map<std::string, Round> rounds_;
  transport::CallId lastCall_ = 0;
  transport::Timer tick_;
};

} // namespace cactuswick::router

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
  /// Own IP number to connect from.
  std::string from_;
  /// Those asked last count as having none without an answer for this long.
  int64_t replyTimeoutMs_ = 0;
  std::function<ledger::Incarnation()> self_;
  std::function<std::vector<ledger::RouterRecord>()> routers_;
  /// Routers that keep the reserve of a budget; they are asked first.
  std::function<std::vector<ledger::Incarnation>(const std::string& aBudget)>
    reserveHolders_;
  /// Gives tokens of this router's grant away; 0 for none.
  std::function<ledger::Tokens(const transport::LendRequest&)> lend_;
  /// Takes tokens that another router has given.
  std::function<void(const std::string& aBudget, ledger::Tokens)> onLent_;
  /// Nobody who was asked can spare @p aMinimum.
  std::function<void(const std::string& aBudget, ledger::Tokens aMinimum)>
    onRefused_;
};

/// Borrows parts of grants from other routers while control is unreachable.
///
/// Links are made when they are needed and closed when they are idle, to a
/// few routers at a time, whatever the size of the fleet.
class GrantLoans
{
public:
  GrantLoans(transport::EventLoop& aLoop, GrantLoansOptions aOptions);

  /// Asks for tokens of a budget, unless it is being asked for already.
  void Ask(const std::string& aBudget,
           ledger::Tokens aWant,
           ledger::Tokens aMinimum);

  /// Most that lenders may have given without their answers being here yet.
  ledger::Tokens MaxPendingAmount(const std::string& aBudget) const;

  /// Answers another router.
  transport::LendReply On(const transport::LendRequest& aRequest) const;

private:
  struct Lender
  {
    std::unique_ptr<transport::PeerDialer> dialer_;
    int64_t lastUseMs_ = 0;
    std::vector<transport::LendRequest> queued_;
    /// Sent on the link that is open now.
    std::map<transport::CallId, transport::LendRequest> unanswered_;
  };

  /// One round of asking for a budget.
  struct Round
  {
    transport::LendRequest request_;
    std::vector<ledger::Incarnation> candidates_;
    int64_t lastSendMs_ = 0;
    /// Requests that were not answered yet.
    std::set<transport::CallId> outstanding_;
  };

  void SendToNext(Round& aRound, int64_t aCount);
  void SendVia(ledger::Incarnation aLender,
               const transport::LendRequest& aRequest);
  static void SendOnLink(Lender& aLender,
                         const transport::LendRequest& aRequest);
  /// Sends what waited for the link.
  void OnLinkUp(ledger::Incarnation aLender);
  void On(const transport::LendReply& aReply);
  /// Ends a round in which nobody lent anything.
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

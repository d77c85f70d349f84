#include "process/GrantLoans.h"

#include <algorithm>
#include <random>
#include <utility>

#include "cactuswick/model/process/Hash.h"
#include "cactuswick/telemetry/process/Log.h"

namespace cactuswick::router {

namespace {

using ledger::Incarnation;
using telemetry::Level;
using telemetry::Log;
using telemetry::Part;
using transport::EventLoop;

constexpr int64_t kTickMs = 50;
/// Further routers are asked after waiting this long for a reply.
constexpr int64_t kHedgeDelayMs = 150;
constexpr int64_t kIdleLinkMs = 15'000;
/// Routers asked in parallel, and routers asked per round in addition to the
/// reserve holders.
constexpr int64_t kParallelRequests = 2;
constexpr size_t kMaxOtherLenders = 4;

} // namespace

GrantLoans::GrantLoans(EventLoop& aLoop, GrantLoansOptions aOptions)
  : loop_(aLoop)
  , options_(std::move(aOptions))
  , tick_(aLoop, [this] { OnTick(); })
{
  tick_.StartRepeating(kTickMs);
}

transport::LendReply
GrantLoans::OnRequest(const transport::LendRequest& aRequest) const
{
  return { aRequest.call_, aRequest.budget_, options_.lend_(aRequest) };
}

void
GrantLoans::Borrow(const std::string& aBudget,
                   ledger::Tokens aWant,
                   ledger::Tokens aMinimum)
{
  if (rounds_.contains(aBudget)) {
    return;
  }
  Round round{ .request_ = { .borrower_ = options_.self_(),
                             .budget_ = aBudget,
                             .want_ = std::max(aWant, aMinimum),
                             .minimum_ = aMinimum } };
  std::vector<Incarnation> holders = options_.reserveHolders_(aBudget);
  std::erase(holders, options_.self_());
  for (const auto& router : options_.routers_()) {
    const bool isHolder =
      std::find(holders.begin(), holders.end(), router.incarnation_) !=
      holders.end();
    if (!isHolder && router.incarnation_ != options_.self_() &&
        router.state_ != ledger::RouterState::kEnded) {
      round.candidates_.push_back(router.incarnation_);
    }
  }
  // Shuffled each time, so that no router is always asked first.
  std::mt19937_64 random(model::Hash64(aBudget, ++lastCall_));
  std::shuffle(round.candidates_.begin(), round.candidates_.end(), random);
  std::shuffle(holders.begin(), holders.end(), random);
  if (round.candidates_.size() > kMaxOtherLenders) {
    round.candidates_.resize(kMaxOtherLenders);
  }
  // Candidates are taken from the back, so reserve holders come first.
  round.candidates_.insert(
    round.candidates_.end(), holders.begin(), holders.end());
  Round& started = rounds_[aBudget] = std::move(round);
  SendToNext(started, kParallelRequests);
}

void
GrantLoans::SendToNext(Round& aRound, int64_t aCount)
{
  aRound.lastSendMs_ = EventLoop::NowMs();
  for (int64_t i = 0; i < aCount && !aRound.candidates_.empty(); ++i) {
    const Incarnation lender = aRound.candidates_.back();
    aRound.candidates_.pop_back();
    aRound.request_.call_ = ++lastCall_;
    aRound.outstanding_.insert(lastCall_);
    SendVia(lender, aRound.request_);
  }
}

void
GrantLoans::SendVia(Incarnation aLender, const transport::LendRequest& aRequest)
{
  Lender& lender = lenders_[aLender];
  lender.lastUseMs_ = EventLoop::NowMs();
  if (lender.dialer_ && lender.dialer_->IsUp()) {
    SendOnLink(lender, aRequest);
    return;
  }
  lender.queued_.push_back(aRequest);
  if (lender.dialer_) {
    return;
  }
  for (const auto& router : options_.routers_()) {
    const auto address = transport::ParseAddress("", router.peerAddress_);
    if (router.incarnation_ != aLender || !address.ok()) {
      continue;
    }
    lender.dialer_ = std::make_unique<transport::PeerDialer>(
      loop_,
      transport::PeerDialerOptions{
        .address_ = *address,
        .from_ = options_.from_,
        .onUp_ = [this, aLender] { OnLinkUp(aLender); },
        .onMessage_ =
          [this, aLender](const transport::PeerMessage& aMessage) {
            if (const auto* reply =
                  std::get_if<transport::LendReply>(&aMessage)) {
              lenders_[aLender].unanswered_.erase(reply->call_);
              OnReply(*reply);
            }
          },
        .onDown_ = [this,
                    aLender] { lenders_[aLender].unanswered_.clear(); } });
  }
}

void
GrantLoans::SendOnLink(Lender& aLender, const transport::LendRequest& aRequest)
{
  aLender.unanswered_[aRequest.call_] = aRequest;
  aLender.dialer_->Send(aRequest);
}

void
GrantLoans::OnLinkUp(Incarnation aLender)
{
  Lender& lender = lenders_[aLender];
  for (const auto& unsent : std::exchange(lender.queued_, {})) {
    SendOnLink(lender, unsent);
  }
}

ledger::Tokens
GrantLoans::MaxPendingAmount(const std::string& aBudget) const
{
  ledger::Tokens sum = 0;
  for (const auto& [id, lender] : lenders_) {
    for (const auto& [call, request] : lender.unanswered_) {
      sum += request.budget_ == aBudget ? request.want_ : 0;
    }
  }
  return sum;
}

void
GrantLoans::OnReply(const transport::LendReply& aReply)
{
  // A late loan is accepted too: the lender has already given the tokens away.
  if (aReply.amount_ > 0) {
    Log(Part::kBilling,
        Level::kInfo,
        model::Concat(
          "borrowed budget=", aReply.budget_, " tokens=", aReply.amount_));
    rounds_.erase(aReply.budget_);
    options_.onLent_(aReply.budget_, aReply.amount_);
    return;
  }
  const auto found = rounds_.find(aReply.budget_);
  if (found == rounds_.end()) {
    return;
  }
  Round& round = found->second;
  // Refusals of an earlier round do not count for this one.
  if (round.outstanding_.erase(aReply.call_) == 0) {
    return;
  }
  if (!round.candidates_.empty()) {
    SendToNext(round, 1);
  } else if (round.outstanding_.empty()) {
    EndRound(aReply.budget_);
  }
}

void
GrantLoans::EndRound(const std::string& aBudget)
{
  const auto round = rounds_.extract(aBudget);
  if (!round.empty()) {
    options_.onRefused_(aBudget, round.mapped().request_.minimum_);
  }
}

void
GrantLoans::OnTick()
{
  const int64_t now = EventLoop::NowMs();
  std::vector<std::string> refused;
  for (auto& [budget, round] : rounds_) {
    const int64_t waitedMs = now - round.lastSendMs_;
    if (waitedMs >= kHedgeDelayMs && !round.candidates_.empty()) {
      SendToNext(round, kParallelRequests);
    } else if (waitedMs >= options_.replyTimeoutMs_) {
      refused.push_back(budget);
    }
  }
  for (const auto& budget : refused) {
    EndRound(budget);
  }
  std::erase_if(lenders_, [now](const auto& aPair) {
    return now - aPair.second.lastUseMs_ > kIdleLinkMs;
  });
}

} // namespace cactuswick::router

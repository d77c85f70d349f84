#include "process/Membership.h"

#include <algorithm>
#include <set>
#include <utility>

#include "cactuswick/telemetry/process/Log.h"
#include "version/MembershipPlan.h"
#include "version/EventLogLimiter.h"

namespace cactuswick::control {

namespace {

using model::Concat;
using telemetry::Level;
using telemetry::Log;
using telemetry::Part;

constexpr int64_t kJoinRequestIntervalMs = 500;
/// How long a join request stays valid.
constexpr int64_t kJoinRequestValidMs = 3'000;
/// After this long without a leader a member sends join requests again: it may
/// have been removed without receiving the change.
constexpr int64_t kLeaderlessMs = 2'000;

} // namespace

Membership::Membership(MembershipOptions aOptions)
  : options_(std::move(aOptions))
{
}

void
Membership::SetSeeds(std::vector<std::string> aSeeds)
{
  options_.seeds_ = std::move(aSeeds);
}

bool
Membership::IsMember() const
{
  const auto& members = options_.replica_.Members();
  return std::any_of(members.begin(), members.end(), [&](const auto& aOne) {
    return aOne.id_ == options_.self_.id_;
  });
}

void
Membership::On(const transport::JoinRequest& aMessage, int64_t aNowMs)
{
  waiting_[aMessage.member_.id_] = { aMessage.member_, aNowMs };
  const std::string& leader = options_.replica_.LeaderId();
  const bool leads = leader == options_.self_.id_;
  if (!leads && !leader.empty() && !aMessage.relayed_) {
    options_.send_(leader, transport::JoinRequest{ aMessage.member_, true });
  }
}

std::vector<ledger::Member>
Membership::Waiting(int64_t aNowMs) const
{
  std::vector<ledger::Member> waiting;
  for (const auto& [id, candidate] : waiting_) {
    if (aNowMs - candidate.requestedMs_ <= kJoinRequestValidMs) {
      waiting.push_back(candidate.member_);
    }
  }
  return waiting;
}

bool
Membership::OnTick(int64_t aNowMs)
{
  if (!options_.replica_.LeaderId().empty()) {
    leaderKnownMs_ = aNowMs;
  }
  std::erase_if(waiting_, [&](const auto& aPair) {
    return aNowMs - aPair.second.requestedMs_ > 2 * kJoinRequestValidMs;
  });
  SendJoinRequests(aNowMs);
  LogLearners(aNowMs);
  return options_.automatic_ && ProposeNext(aNowMs);
}

void
Membership::SendJoinRequests(int64_t aNowMs)
{
  const bool leaderless = aNowMs - leaderKnownMs_ > kLeaderlessMs;
  if ((IsMember() && !leaderless) ||
      aNowMs - lastJoinRequestMs_ < kJoinRequestIntervalMs) {
    return;
  }
  lastJoinRequestMs_ = aNowMs;
  std::set<std::string> addresses(options_.seeds_.begin(),
                                  options_.seeds_.end());
  for (const auto& member : options_.replica_.Members()) {
    addresses.insert(member.address_);
  }
  addresses.erase(options_.self_.address_);
  for (const auto& address : addresses) {
    options_.sendJoinRequest_(address, options_.self_);
  }
}

void
Membership::LogLearners(int64_t aNowMs)
{
  if (aNowMs - learnersLoggedMs_ < kEventLogIntervalMs) {
    return;
  }
  learnersLoggedMs_ = aNowMs;
  for (const auto& member : options_.replica_.Members()) {
    const auto progress = options_.replica_.ProgressOf(member.id_);
    if (!member.voter_ && progress) {
      Log(Part::kControl, Level::kInfo, TextOf(member.id_, *progress));
    }
  }
}

void
Membership::LogPromotions(const std::vector<ledger::Member>& aNext) const
{
  const auto& now = options_.replica_.Members();
  for (const auto& member : aNext) {
    const bool isLearner =
      std::any_of(now.begin(), now.end(), [&](const auto& aOne) {
        return aOne.id_ == member.id_ && !aOne.voter_;
      });
    const auto progress = options_.replica_.ProgressOf(member.id_);
    if (isLearner && member.voter_ && progress) {
      options_.onCaughtUp_(progress->knownMs_);
      Log(Part::kControl,
          Level::kInfo,
          Concat("promotes to voter ", TextOf(member.id_, *progress)));
    }
  }
}

bool
Membership::ProposeNext(int64_t aNowMs)
{
  ledger::Replica& replica = options_.replica_;
  if (!replica.CanServe() || replica.HasPendingMemberChange()) {
    return false;
  }
  MembershipInput input{ .waiting_ = Waiting(aNowMs),
                         .self_ = options_.self_.id_,
                         .wantedVoters_ = options_.wantedVoters_ };
  for (const auto& member : replica.Members()) {
    input.members_.push_back({ member,
                               replica.IsCaughtUp(member.id_),
                               replica.MsSinceContact(member.id_) });
  }
  const auto next = NextMembers(input);
  if (!next) {
    return false;
  }
  LogPromotions(*next);
  if (!replica.ProposeMembers(*next, aNowMs).ok()) {
    return false;
  }
  std::string names;
  for (const auto& member : *next) {
    model::AppendTo(names, " ", member.id_, member.voter_ ? "" : "(learner)");
  }
  Log(Part::kControl, Level::kInfo, Concat("proposed members:", names));
  return true;
}

} // namespace cactuswick::control

#include "version/MembershipPlan.h"

#include <algorithm>

namespace cactuswick::control {

namespace {

using Members = std::vector<ledger::Member>;

class Planner
{
public:
  explicit Planner(const MembershipInput& aInput)
    : input_(aInput)
  {
    for (const auto& health : aInput.members_) {
      members_.push_back(health.member_);
      voters_ += health.member_.voter_ ? 1 : 0;
    }
  }

  std::optional<Members> Next() const
  {
    if (auto next = DropLearner()) {
      return next;
    }
    if (auto next = AddLearner()) {
      return next;
    }
    if (auto next = Promote()) {
      return next;
    }
    return DropVoter();
  }

private:
  /// Whether a newer member has the same address. Newer members come after
  /// older ones in the list.
  bool IsReplacedByMember(const ledger::Member& aMember) const
  {
    const auto own =
      std::find_if(members_.begin(), members_.end(), [&](const auto& aOne) {
        return aOne.id_ == aMember.id_;
      });
    return std::any_of(own, members_.end(), [&](const auto& aOther) {
      return aOther.address_ == aMember.address_ && aOther.id_ != aMember.id_;
    });
  }

  bool HasLostDisk(const ledger::Member& aMember) const
  {
    if (IsReplacedByMember(aMember)) {
      return true;
    }
    return std::any_of(
      input_.waiting_.begin(), input_.waiting_.end(), [&](const auto& aOther) {
        return aOther.address_ == aMember.address_ && aOther.id_ != aMember.id_;
      });
  }

  bool IsDead(const MemberHealth& aHealth) const
  {
    const int64_t limit =
      aHealth.member_.voter_ ? kDeadVoterMs : kDeadLearnerMs;
    return aHealth.member_.id_ != input_.self_ &&
           (aHealth.sinceContactMs_ > limit || HasLostDisk(aHealth.member_));
  }

  Members Without(const std::string& aId) const
  {
    Members members = members_;
    std::erase_if(members, [&](const auto& aOne) { return aOne.id_ == aId; });
    return members;
  }

  std::optional<Members> DropLearner() const
  {
    for (const auto& health : input_.members_) {
      if (!health.member_.voter_ && IsDead(health)) {
        return Without(health.member_.id_);
      }
    }
    return std::nullopt;
  }

  std::optional<Members> AddLearner() const
  {
    for (const auto& waiting : input_.waiting_) {
      const bool known =
        std::any_of(members_.begin(), members_.end(), [&](const auto& aOne) {
          return aOne.id_ == waiting.id_;
        });
      if (!known) {
        Members members = members_;
        members.push_back(waiting);
        members.back().voter_ = false;
        return members;
      }
    }
    return std::nullopt;
  }

  std::optional<Members> Promote() const
  {
    const bool anyDead = std::any_of(
      input_.members_.begin(), input_.members_.end(), [&](const auto& aOne) {
        return aOne.member_.voter_ && IsDead(aOne);
      });
    // At most one voter more than wanted, to replace a dead one.
    const size_t limit = input_.wantedVoters_ + (anyDead ? 1 : 0);
    for (size_t i = 0; i < input_.members_.size(); ++i) {
      const auto& health = input_.members_[i];
      if (!health.member_.voter_ && health.caughtUp_ && voters_ < limit) {
        Members members = members_;
        members[i].voter_ = true;
        return members;
      }
    }
    return std::nullopt;
  }

  std::optional<Members> DropVoter() const
  {
    if (voters_ <= input_.wantedVoters_) {
      return std::nullopt;
    }
    for (const auto& health : input_.members_) {
      if (health.member_.voter_ && IsDead(health)) {
        return Without(health.member_.id_);
      }
    }
    return std::nullopt;
  }

  const MembershipInput& input_;
  Members members_;
  size_t voters_ = 0;
};

} // namespace

std::optional<Members>
NextMembers(const MembershipInput& aInput)
{
  return Planner(aInput).Next();
}

} // namespace cactuswick::control

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cactuswick/ledger/version/Command.h"

namespace cactuswick::control {

/// A member of the control log as its leader sees it.
struct MemberHealth
{
  ledger::Member member_;
  bool caughtUp_ = false;
  /// Milliseconds since it was heard.
  int64_t sinceContactMs_ = 0;
};

struct MembershipInput
{
  std::vector<MemberHealth> members_;
  /// Replicas that ask to be added.
  std::vector<ledger::Member> waiting_;
  /// Identity of the leader, which is never removed.
  std::string self_;
  /// Votes that the fault tolerance needs.
  size_t wantedVoters_ = 3;
};

/// Silence after which a voter counts as dead, if another can take its place.
inline constexpr int64_t kDeadVoterMs = 3'000;

/// Silence after which a member without a vote is dropped.
inline constexpr int64_t kDeadLearnerMs = 10'000;

/// Decides the next single change of the set of replicas, or none.
///
/// A newcomer copies the log before it votes, and a dead voter goes only once
/// a newcomer votes in its place, so that the quorum never falls below what
/// the fault tolerance needs. A member whose address asks to join under
/// another identity, or has joined since, has lost its disk and is dead for
/// good: that stands in the log, so that a new leader need not wait for
/// silence to know it.
std::optional<std::vector<ledger::Member>>
NextMembers(const MembershipInput& aInput);

} // namespace cactuswick::control

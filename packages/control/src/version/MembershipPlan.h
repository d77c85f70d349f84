#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cactuswick/ledger/version/Command.h"

namespace cactuswick::control {

/// State of a member as the leader sees it.
struct MemberHealth
{
  ledger::Member member_;
  bool caughtUp_ = false;
  /// Milliseconds since the last message from it.
  int64_t sinceContactMs_ = 0;
};

struct MembershipInput
{
  std::vector<MemberHealth> members_;
  /// Replicas that ask to be added.
  std::vector<ledger::Member> waiting_;
  /// Id of the leader, which is never removed.
  std::string self_;
  /// Number of voters that the fault tolerance requires.
  size_t wantedVoters_ = 3;
};

/// Time without contact after which a voter counts as dead and may be replaced.
inline constexpr int64_t kDeadVoterMs = 3'000;

/// Time without contact after which a learner is removed.
inline constexpr int64_t kDeadLearnerMs = 10'000;

/// Returns the members after the next single change of the set of replicas, or
/// nullopt if none is needed.
///
/// A new replica copies the log as a learner before it votes, and a dead voter
/// is removed only once a new voter has replaced it, so that the quorum never
/// falls below what the fault tolerance requires. A member has lost its disk
/// and is dead for good if a replica with its address and another id asks to
/// join or has joined since. The joined one is in the log, so a new leader need
/// not wait for a timeout to detect it.
std::optional<std::vector<ledger::Member>>
NextMembers(const MembershipInput& aInput);

} // namespace cactuswick::control

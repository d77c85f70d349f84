#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "cactuswick/ledger/version/Replica.h"
#include "cactuswick/transport/connection/PeerMessage.h"

namespace cactuswick::control {

struct MembershipOptions
{
  ledger::Replica& replica_;
  /// This replica's own entry, sent in its join requests.
  ledger::Member self_;
  /// Number of voters that the fault tolerance requires.
  size_t wantedVoters_ = 3;
  /// Whether dead and wiped replicas are replaced without operator action.
  bool automatic_ = false;
  /// Peer addresses to send join requests to, besides the known members.
  std::vector<std::string> seeds_;
  std::function<void(const std::string& aAddress, const ledger::Member&)>
    sendJoinRequest_;
  std::function<void(const std::string& aId, const transport::PeerMessage&)>
    send_;
  /// Called when a learner is promoted, with the time since the leader added
  /// it.
  std::function<void(int64_t aMs)> onCaughtUp_;
};

/// Asks the other replicas to add this one and, on the leader, maintains the
/// set of members.
class Membership
{
public:
  explicit Membership(MembershipOptions aOptions);

  void SetSeeds(std::vector<std::string> aSeeds);
  void On(const transport::JoinRequest& aMessage, int64_t aNowMs);
  /// Returns whether a change of members was proposed.
  bool OnTick(int64_t aNowMs);

  /// Replicas whose join request is recent enough to be valid.
  std::vector<ledger::Member> Waiting(int64_t aNowMs) const;

private:
  struct Candidate
  {
    ledger::Member member_;
    int64_t requestedMs_ = 0;
  };

  bool IsMember() const;
  void SendJoinRequests(int64_t aNowMs);
  bool ProposeNext(int64_t aNowMs);
  void LogLearners(int64_t aNowMs);
  void LogPromotions(const std::vector<ledger::Member>& aNext) const;

  MembershipOptions options_;
  std::map<std::string, Candidate> waiting_;
  int64_t lastJoinRequestMs_ = 0;
  int64_t leaderKnownMs_ = 0;
  int64_t learnersLoggedMs_ = 0;
};

} // namespace cactuswick::control

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
  /// This replica as it asks to be added.
  ledger::Member self_;
  /// Votes that the fault tolerance needs.
  size_t wantedVoters_ = 3;
  /// Whether dead and wiped replicas are replaced without an operator.
  bool automatic_ = false;
  /// Peer addresses to ask when no leader is known.
  std::vector<std::string> seeds_;
  std::function<void(const std::string& aAddress, const ledger::Member&)>
    sendJoinRequest_;
  std::function<void(const std::string& aId, const transport::PeerMessage&)>
    send_;
  /// A newcomer gets its vote this long after the leader took it in.
  std::function<void(int64_t aMs)> onCaughtUp_;
};

/// Joins this replica to the others and, while it leads, keeps their set.
class Membership
{
public:
  explicit Membership(MembershipOptions aOptions);

  void SetSeeds(std::vector<std::string> aSeeds);
  void On(const transport::JoinRequest& aMessage, int64_t aNowMs);
  /// Returns true when it proposed a change.
  bool OnTick(int64_t aNowMs);

  /// Replicas that asked to be added lately.
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

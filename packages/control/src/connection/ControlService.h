#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <vector>

#include "cactuswick/ledger/version/Ledger.h"
#include "cactuswick/ledger/version/Replica.h"
#include "cactuswick/transport/connection/PeerListener.h"
#include "connection/QueryAnswers.h"
#include "version/PushPlan.h"

namespace cactuswick::control {

using transport::CallId;
using transport::EncodedMessage;
using transport::LinkId;

struct ControlServiceOptions
{
  const ledger::Ledger& ledger_;
  ledger::Replica& replica_;
  std::function<void(LinkId, const transport::PeerMessage&)> send_;
  std::function<void(LinkId, const EncodedMessage&)> sendEncoded_;
  /// Asks for the effects of the replica to be carried out.
  std::function<void()> scheduleFlush_;
  /// Replicas that asked to be added.
  std::function<std::vector<ledger::Member>()> waiting_;
  /// Endpoints known here, for a router that has just connected.
  std::function<EncodedMessage()> endpoints_;
  /// Bytes that a link has not taken yet.
  std::function<size_t(LinkId)> pendingBytes_;
  std::function<int64_t()> nowMs_ = &transport::EventLoop::NowMs;
};

/// Serves routers and operators at a control replica: proposals, reads
/// through a quorum, configuration pushes and recalls of grants.
class ControlService
{
public:
  explicit ControlService(ControlServiceOptions aOptions);

  void On(LinkId aLink, const transport::ProposeRequest& aMessage);
  void On(LinkId aLink, const transport::QueryRequest& aMessage);
  void On(LinkId aLink, const transport::MembersRequest& aMessage);
  void On(LinkId aLink, const transport::Subscribe& aMessage);
  void OnLinkDown(LinkId aLink);

  /// Answers whoever proposed the entry, after it was applied.
  void OnApplied(const ledger::Entry& aEntry, const ledger::Reply& aReply);
  void OnReadReady(ledger::ReadId aRead);
  void OnReadFailed(ledger::ReadId aRead);
  /// Sends configuration to subscribers that are behind, as far as this turn
  /// of the loop allows; later turns go on.
  void PushConfig();
  /// Begins a turn of the loop.
  void OnTurn();
  /// Sends a message to every subscriber.
  void PushToRouters(const transport::PeerMessage& aMessage) const;
  /// Tells subscribers of a changed set of replicas.
  void PushMembers();
  /// Routers that are connected here.
  std::vector<ledger::Incarnation> ConnectedRouters() const;
  /// Sends everyone who still waits to the new leader.
  void OnLeadershipLost();

private:
  struct PendingProposal
  {
    LinkId link_ = 0;
    CallId call_ = 0;
    ledger::Term term_ = 0;
    /// Of the deployment that was proposed; 0 for other commands.
    int64_t version_ = 0;
  };

  struct PendingRead
  {
    LinkId link_ = 0;
    transport::QueryRequest query_;
  };

  void Redirect(LinkId aLink, CallId aCall);
  void Reject(LinkId aLink, CallId aCall, const absl::Status& aStatus);
  /// Answers a deployment whose version is in force already, or has it wait
  /// for the entry that is under way.
  bool HandleResentDeployment(const PendingProposal& aProposal);
  /// The configuration since a revision, encoded once for all who have that.
  EncodedMessage DeltaSince(int64_t aRevision);
  /// Sends what a subscriber lacks; its size.
  int64_t PushTo(LinkId aLink, Subscriber& aSubscriber);
  transport::ControlMembers Members() const;
  void Recall(const ledger::RouterBatch& aBatch,
              const ledger::BatchReply& aReply);
  void LogDenied(const ledger::AcquireGrant& aRequest,
                 ledger::Incarnation aRouter) const;
  /// Asks the holders of grants of a budget, but @p aExcept, to give back.
  void RecallFrom(const std::string& aBudget,
                  ledger::Incarnation aExcept) const;

  ControlServiceOptions options_;
  QueryAnswers answers_;
  std::multimap<ledger::Index, PendingProposal> pendingProposals_;
  ledger::ReadId lastReadId_ = 0;
  std::map<ledger::ReadId, PendingRead> pendingReads_;
  std::map<LinkId, Subscriber> subscribers_;
  PushAllowance allowance_;
  /// Encoded configuration up to @c deltasRevision_, by where it starts.
  std::map<int64_t, EncodedMessage> deltas_;
  int64_t deltasRevision_ = 0;
  transport::ControlMembers pushedMembers_;
};

} // namespace cactuswick::control

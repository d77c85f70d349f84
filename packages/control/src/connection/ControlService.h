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
  /// Schedules the effects of the replica to be carried out.
  std::function<void()> scheduleFlush_;
  /// Returns the replicas that asked to be added.
  std::function<std::vector<ledger::Member>()> waiting_;
  /// Returns the endpoints known here, for a router that has just connected.
  std::function<EncodedMessage()> endpoints_;
  /// Returns the bytes queued on a link that were not written yet.
  std::function<size_t(LinkId)> pendingBytes_;
  std::function<int64_t()> nowMs_ = &transport::EventLoop::NowMs;
};

/// Serves routers and operators on a control replica: proposals, reads
/// confirmed by a quorum, configuration pushes and recalls of grants.
class ControlService
{
public:
  explicit ControlService(ControlServiceOptions aOptions);

  void On(LinkId aLink, const transport::ProposeRequest& aMessage);
  void On(LinkId aLink, const transport::QueryRequest& aMessage);
  void On(LinkId aLink, const transport::MembersRequest& aMessage);
  void On(LinkId aLink, const transport::Subscribe& aMessage);
  void OnLinkDown(LinkId aLink);

  /// Answers the proposers of an entry after it was applied.
  void OnApplied(const ledger::Entry& aEntry, const ledger::Reply& aReply);
  void OnReadReady(ledger::ReadId aRead);
  void OnReadFailed(ledger::ReadId aRead);
  /// Sends configuration to subscribers that are behind, up to the limit of
  /// this turn of the event loop; later turns continue.
  void PushConfig();
  /// Begins a turn of the event loop: renews the push allowance and pushes.
  void OnTurn();
  /// Sends a message to every subscriber.
  void PushToRouters(const transport::PeerMessage& aMessage) const;
  void PushToRouters(const transport::EncodedMessage& aMessage) const;
  /// Sends subscribers the set of replicas if it has changed.
  void PushMembers();
  /// Routers that are subscribed at this replica.
  std::vector<ledger::Incarnation> ConnectedRouters() const;
  /// Redirects pending proposals and subscribers to the new leader.
  void OnLeadershipLost();

private:
  struct PendingProposal
  {
    LinkId link_ = 0;
    CallId call_ = 0;
    ledger::Term term_ = 0;
    /// Version of the proposed deployment; 0 for other commands.
    int64_t version_ = 0;
  };

  struct PendingRead
  {
    LinkId link_ = 0;
    transport::QueryRequest query_;
  };

  void Redirect(LinkId aLink, CallId aCall);
  void Reject(LinkId aLink, CallId aCall, const absl::Status& aStatus);
  /// Returns an error for a command that some members cannot decode.
  absl::Status CheckFormat(const ledger::Command& aCommand) const;
  /// Handles a deployment that was proposed before: answers it if its version
  /// is in force already, or attaches it to the pending entry. Returns false
  /// for a version that is new.
  bool HandleResentDeployment(const PendingProposal& aProposal);
  /// Returns the configuration changes since a revision, encoded once for all
  /// subscribers at that revision.
  EncodedMessage DeltaSince(int64_t aRevision);
  /// Sends the state that a subscriber lacks and returns its size in bytes.
  int64_t PushTo(LinkId aLink, Subscriber& aSubscriber);
  transport::ControlMembers Members() const;
  /// Recalls grants of the budgets of which the batch was denied a grant.
  void Recall(const ledger::RouterBatch& aBatch,
              const ledger::BatchReply& aReply);
  void LogDenied(const ledger::AcquireGrant& aRequest,
                 ledger::Incarnation aRouter) const;
  /// Asks all holders of grants of a budget except @p aExcept to return them.
  void RecallFrom(const std::string& aBudget,
                  ledger::Incarnation aExcept) const;

  ControlServiceOptions options_;
  QueryAnswers answers_;
  std::multimap<ledger::Index, PendingProposal> pendingProposals_;
  ledger::ReadId lastReadId_ = 0;
  std::map<ledger::ReadId, PendingRead> pendingReads_;
  std::map<LinkId, Subscriber> subscribers_;
  PushAllowance allowance_;
  /// Encoded configuration changes up to @c deltasRevision_, by the revision
  /// that they start from.
  std::map<int64_t, EncodedMessage> deltas_;
  int64_t deltasRevision_ = 0;
  transport::ControlMembers pushedMembers_;
};

} // namespace cactuswick::control

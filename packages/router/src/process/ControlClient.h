#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "process/OperationBatches.h"
#include "process/ReplicaLink.h"

namespace cactuswick::router {

struct ControlClientOptions
{
  std::vector<transport::Address> replicas_;
  /// Port of the replicas' listeners instead of that of @c replicas_; or 0.
  uint16_t port_ = 0;
  /// Own IP number to connect from.
  std::string from_;
  ledger::RegisterRouter registration_;
  /// Longest wait for an answer to an operator's proposal or query.
  int64_t callTimeoutMs_ = 5'000;
  /// Without an answer for this long the leader counts as unreachable.
  int64_t reachableMs_ = 1'500;
  std::function<void(const ledger::Registered&)> onRegistered_;
  std::function<void(const ledger::ConfigDelta&)> onConfig_;
  std::function<void(const std::string& aBudget)> onRecall_;
  /// What control has heard of endpoints.
  std::function<void(const transport::Gossip&)> onEndpoints_;
  /// A batch was answered so many milliseconds after it was first sent.
  std::function<void(int64_t)> onRoundTrip_;
  /// The ledger knows this incarnation as ended: it must serve nothing more.
  std::function<void()> onEnded_;
};

/// A router's line to the control leader, whoever that is.
///
/// Operations go in batches, one under way at a time; a batch is sent again
/// with its sequence number until it is answered, which the ledger makes
/// idempotent.
class ControlClient
{
public:
  using OpHook = OperationBatches::OpHook;
  using ReplyHook = std::function<void(absl::StatusOr<ledger::Reply>)>;
  using QueryHook = std::function<void(absl::StatusOr<transport::QueryReply>)>;

  ControlClient(transport::EventLoop& aLoop, ControlClientOptions aOptions);
  ControlClient(const ControlClient&) = delete;
  ControlClient& operator=(const ControlClient&) = delete;
  ~ControlClient();

  /// Adds an operation to the next batch; the hook gets its result once.
  void Submit(ledger::RouterOp aOp, OpHook aHook = nullptr);

  /// Commits an operator's command. Only idempotent commands: it may be sent
  /// more than once.
  void Propose(ledger::Command aCommand, ReplyHook aHook);
  void ChangeMembers(const transport::MembersRequest& aRequest,
                     ReplyHook aHook);
  void Query(transport::QueryType aType, std::string aKey, QueryHook aHook);

  /// Takes changed addresses of replicas; those learned meanwhile are kept.
  void SetReplicas(const std::vector<transport::Address>& aReplicas);

  /// Revision to subscribe from; call it after each change.
  void SetRevision(int64_t aRevision);

  /// True while the leader answers.
  bool IsReachable() const;
  bool IsRegistered() const;
  ControlTimes Times() const;
  ledger::Incarnation Incarnation() const;
  /// The ledger's log time, as far as it is known here.
  ledger::LogTimeMs LogTime() const;

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace cactuswick::router

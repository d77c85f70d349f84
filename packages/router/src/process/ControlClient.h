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
  /// Port that replaces the ports in @c replicas_; 0 keeps them.
  uint16_t port_ = 0;
  /// Local IP address for outgoing connections.
  std::string from_;
  ledger::RegisterRouter registration_;
  /// Timeout for an operator's proposal or query.
  int64_t callTimeoutMs_ = 5'000;
  /// The leader counts as unreachable after waiting this long for a reply.
  int64_t reachableMs_ = 1'500;
  std::function<void(const ledger::Registered&)> onRegistered_;
  std::function<void(const ledger::ConfigDelta&)> onConfig_;
  std::function<void(const std::string& aBudget)> onRecall_;
  /// Called with endpoint announcements relayed by control.
  std::function<void(const transport::Gossip&)> onEndpoints_;
  /// Called with the prompt parts whose responses the leader wants to know.
  std::function<void(const transport::WatchParts&)> onWatch_;
  /// Called when a leader has answered for the first time on this link.
  std::function<void()> onConnected_;
  /// Called with the round-trip time of an answered batch, in milliseconds from
  /// its first send.
  std::function<void(int64_t)> onRoundTrip_;
  /// Called when the ledger has ended this incarnation, which must stop
  /// serving.
  std::function<void()> onEnded_;
};

/// Client of the current control leader.
///
/// Operations are sent in batches, one in flight at a time. A batch is resent
/// with the same sequence number until it is answered; the number makes it
/// idempotent in the ledger.
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

  /// Adds an operation to the next batch; the hook is called once with its
  /// result.
  void Submit(ledger::RouterOp aOp, OpHook aHook = nullptr);

  /// Sends a message that is neither acknowledged nor sent again; it is lost
  /// while no leader is connected.
  void SendUnreliable(const transport::PeerMessage& aMessage);

  /// Proposes an operator's command, which must be idempotent: it may be sent
  /// more than once.
  void Propose(ledger::Command aCommand, ReplyHook aHook);
  void ChangeMembers(const transport::MembersRequest& aRequest,
                     ReplyHook aHook);
  void Query(transport::QueryType aType, std::string aKey, QueryHook aHook);

  /// Replaces the configured replica addresses; discovered ones are kept.
  void SetReplicas(const std::vector<transport::Address>& aReplicas);

  /// Sets the revision to subscribe from; to be called after each change.
  void SetRevision(int64_t aRevision);

  /// Returns whether the leader answers in time.
  bool IsReachable() const;
  /// Returns the time at which the replica was last known to be reached, in
  /// milliseconds of EventLoop::NowMs(): what it had sent before that time has
  /// been received.
  int64_t LastContactMs() const;
  bool IsRegistered() const;
  ControlTimings Times() const;
  ledger::Incarnation Incarnation() const;
  /// Returns the latest log time that this router has received.
  ledger::LogTimeMs LogTime() const;

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace cactuswick::router

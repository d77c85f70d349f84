#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "cactuswick/ledger/version/Command.h"
#include "cactuswick/model/version/Announcement.h"
#include "cactuswick/settings/process/Settings.h"
#include "cactuswick/transport/connection/PeerMessage.h"
#include "cactuswick/transport/process/EventLoop.h"

namespace cactuswick::control {

/// A control replica: its replicated log, ledger and connections, all on one
/// event loop.
///
/// The public methods serve other interfaces of the same process and must be
/// called on the task's own loop.
class ControlTask
{
public:
  using ReplyHook = std::function<void(absl::StatusOr<ledger::Reply>)>;
  using QueryHook = std::function<void(absl::StatusOr<transport::QueryReply>)>;

  /// @p aOnFatal is called on an error after which the replica must stop, such
  /// as a failed sync of its log.
  ControlTask(transport::EventLoop& aLoop,
              const settings::Settings& aSettings,
              std::function<void(absl::Status)> aOnFatal);
  ControlTask(const ControlTask&) = delete;
  ControlTask& operator=(const ControlTask&) = delete;
  ~ControlTask();

  /// Opens the data folder and starts listening.
  absl::Status Start();

  /// Applies the settings that may change at run time: the seeds.
  void Reload(const settings::Settings& aSettings);

  /// Commits an idempotent command. Fails with kNotLeader when this replica is
  /// not the leader and with kControlUnreachable when no quorum answered in
  /// time.
  void Propose(ledger::Command aCommand, ReplyHook aHook);

  /// Reads the deployment in force after a quorum has confirmed leadership.
  /// Fails like Propose().
  void ReadDeployment(QueryHook aHook);

  /// Handles an announcement that an endpoint sent to this replica.
  void OnAnnouncement(const model::Announcement& aAnnouncement);

  /// Whether this incarnation of the endpoint has been retired.
  bool IsRetired(const std::string& aEndpoint, int64_t aIncarnation) const;

  /// Current incarnation of an announced endpoint; nullopt when this replica
  /// does not know the endpoint.
  std::optional<int64_t> KnownIncarnation(const std::string& aEndpoint) const;

  bool IsLeader() const;
  /// IP address of the leader; empty while none is known.
  std::string LeaderHost() const;

  /// Addresses of the routers that a caller in @p aFailureDomain may use;
  /// empty while this replica knows of none.
  std::vector<std::string> EntryPointAddresses(
    const std::string& aFailureDomain) const;

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace cactuswick::control

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

/// One control replica: its log, its ledger and its links, on one loop.
///
/// The calls serve other interfaces of the same process; make them on the
/// task's own loop.
class ControlTask
{
public:
  using ReplyHook = std::function<void(absl::StatusOr<ledger::Reply>)>;
  using QueryHook = std::function<void(absl::StatusOr<transport::QueryReply>)>;

  /// @p aOnFatal is called when the replica must not go on, such as when its
  /// disk fails.
  ControlTask(transport::EventLoop& aLoop,
              const settings::Settings& aSettings,
              std::function<void(absl::Status)> aOnFatal);
  ControlTask(const ControlTask&) = delete;
  ControlTask& operator=(const ControlTask&) = delete;
  ~ControlTask();

  /// Opens the data folder and listens.
  absl::Status Start();

  /// Takes settings that have changed while running: the seeds.
  void Reload(const settings::Settings& aSettings);

  /// Commits an idempotent command. kNotLeader when another replica has to be
  /// asked, kControlUnreachable when no quorum answered.
  void Propose(ledger::Command aCommand, ReplyHook aHook);

  /// Reads the deployment in force, confirmed by a quorum; errors as above.
  void ReadDeployment(QueryHook aHook);

  /// Takes an announcement that an endpoint made here.
  void OnAnnouncement(const model::Announcement& aAnnouncement);

  /// Whether this incarnation of the endpoint is known to leave for good.
  bool IsRetired(const std::string& aEndpoint, int64_t aIncarnation) const;

  /// Incarnation of an endpoint that announces itself, if it is known here.
  std::optional<int64_t> KnownIncarnation(const std::string& aEndpoint) const;

  bool IsLeader() const;
  /// IP number of the leader; empty while none is known.
  std::string LeaderHost() const;

  /// Addresses of routers for a caller in @p aFailureDomain; empty while this
  /// replica knows of none.
  std::vector<std::string> EntryPointAddresses(
    const std::string& aFailureDomain) const;

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace cactuswick::control

#pragma once

#include <functional>
#include <memory>

#include <absl/status/status.h>

#include "cactuswick/settings/process/Settings.h"
#include "cactuswick/transport/process/EventLoop.h"

namespace cactuswick::control {

/// One control replica: its log, its ledger and its links, on one loop.
class ControlTask
{
public:
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

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace cactuswick::control

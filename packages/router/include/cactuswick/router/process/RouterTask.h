#pragma once

#include <functional>
#include <memory>

#include <absl/status/status.h>

#include "cactuswick/router/connection/ForwardDialect.h"
#include "cactuswick/settings/process/Settings.h"
#include "cactuswick/transport/process/EventLoop.h"

namespace cactuswick::router {

/// One router: callers, endpoints and operators on one side, endpoints,
/// control and other routers on the other, on one loop.
class RouterTask
{
public:
  /// @p aOnStopped is called once the router has drained, or with the error
  /// for which it must not go on.
  RouterTask(transport::EventLoop& aLoop,
             const settings::Settings& aSettings,
             const ForwardDialect& aDialect,
             std::function<void(absl::Status)> aOnStopped);
  RouterTask(const RouterTask&) = delete;
  RouterTask& operator=(const RouterTask&) = delete;
  ~RouterTask();

  /// Binds the addresses, which proves earlier lives of this VM's router
  /// dead, and then registers with control.
  absl::Status Start();

  /// Takes settings that have changed while running: the addresses of
  /// control.
  void Reload(const settings::Settings& aSettings);

  /// Leaves the entry list, serves on while callers may hold an old one, then
  /// refuses new requests, finishes those in flight and stops.
  void Drain();

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace cactuswick::router

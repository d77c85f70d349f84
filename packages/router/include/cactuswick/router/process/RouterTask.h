#pragma once

#include <functional>
#include <memory>

#include <absl/status/status.h>

#include "cactuswick/router/connection/ForwardDialect.h"
#include "cactuswick/settings/process/Settings.h"
#include "cactuswick/transport/process/EventLoop.h"

namespace cactuswick::router {

/// Router process on a single event loop. Serves callers, endpoints and
/// operators, and connects to endpoints, control and the other routers.
class RouterTask
{
public:
  /// Calls @p aOnStopped once the router has drained, or with the error that
  /// forces it to stop.
  RouterTask(transport::EventLoop& aLoop,
             const settings::Settings& aSettings,
             const ForwardDialect& aDialect,
             std::function<void(absl::Status)> aOnStopped);
  RouterTask(const RouterTask&) = delete;
  RouterTask& operator=(const RouterTask&) = delete;
  ~RouterTask();

  /// Binds the addresses and then registers with control. A successful bind
  /// proves that earlier incarnations of the router on this VM are dead.
  absl::Status Start();

  /// Applies settings that may change at run time: the addresses of control.
  void Reload(const settings::Settings& aSettings);

  /// Starts a graceful shutdown: removes the router from the entry list, serves
  /// until callers' copies of the list have expired, then refuses new requests,
  /// finishes those in flight and stops.
  void Drain();

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace cactuswick::router

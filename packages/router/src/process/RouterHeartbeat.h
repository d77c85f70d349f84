#pragma once

#include <cstdint>
#include <functional>
#include <optional>

#include "process/Biller.h"
#include "process/ControlClient.h"
#include "version/ConfigView.h"

namespace cactuswick::router {

struct RouterHeartbeatOptions
{
  ControlClient& control_;
  const ConfigView& config_;
  const Biller& biller_;
  /// Returns the start of the oldest call that may still be settled.
  std::function<std::optional<ledger::LogTimeMs>()> oldestCall_;
};

/// Heartbeats of a router that settles its requests one by one: they tell
/// control which configuration is applied and up to when all calls are settled.
class RouterHeartbeat
{
public:
  explicit RouterHeartbeat(RouterHeartbeatOptions aOptions);

  /// Sends a heartbeat if the router is registered and one is due.
  void OnTick(int64_t aNowMs);

private:
  void Send();

  RouterHeartbeatOptions options_;
  int64_t lastMs_ = 0;
  /// The last heartbeat has not been answered.
  bool pending_ = false;
};

} // namespace cactuswick::router

#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "cactuswick/transport/process/Address.h"
#include "cactuswick/transport/process/EventLoop.h"

namespace cactuswick::transport {

/// Opens a connection, sends nothing and closes it, to learn whether an address
/// can be reached. Destroying it cancels the attempt.
class ConnectProbe
{
public:
  /// @p aOnDone is called once, from the loop, with whether the connection was
  /// established within @p aTimeoutMs; it may destroy the probe.
  ConnectProbe(EventLoop& aLoop,
               const Address& aAddress,
               int64_t aTimeoutMs,
               std::function<void(bool aConnected)> aOnDone);
  ConnectProbe(const ConnectProbe&) = delete;
  ConnectProbe& operator=(const ConnectProbe&) = delete;
  ~ConnectProbe();

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace cactuswick::transport

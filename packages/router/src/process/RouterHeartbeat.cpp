#include "process/RouterHeartbeat.h"

#include <algorithm>
#include <utility>

namespace cactuswick::router {

namespace {

constexpr int64_t kHeartbeatMs = 500;

} // namespace

RouterHeartbeat::RouterHeartbeat(RouterHeartbeatOptions aOptions)
  : options_(std::move(aOptions))
{
}

void
RouterHeartbeat::OnTick(int64_t aNowMs)
{
  if (aNowMs - lastMs_ >= kHeartbeatMs && !pending_ &&
      options_.control_.IsRegistered()) {
    lastMs_ = aNowMs;
    Send();
  }
}

void
RouterHeartbeat::Send()
{
  const Biller& biller = options_.biller_;
  ledger::LogTimeMs settledBefore = options_.control_.LogTime();
  settledBefore =
    std::min(settledBefore, options_.oldestCall_().value_or(settledBefore));
  settledBefore =
    std::min(settledBefore, biller.OldestStart().value_or(settledBefore));
  pending_ = true;
  options_.control_.Submit(
    ledger::Heartbeat{ .appliedRevision_ = options_.config_.Revision(),
                       .settledBeforeMs_ = settledBefore,
                       .hasRemoteCopies_ = biller.HasRemoteCopies() },
    [this](const ledger::OpResult&) { pending_ = false; });
}

} // namespace cactuswick::router

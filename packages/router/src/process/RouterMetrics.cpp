#include "process/RouterMetrics.h"

#include "cactuswick/control/process/CallerMetrics.h"

namespace cactuswick::router {

namespace {

using telemetry::Gauge;
using transport::EventLoop;

} // namespace

void
SetRouterGauges(telemetry::Metrics& aMetrics, const RouterGauges& aGauges)
{
  const Dispatcher& dispatcher = aGauges.dispatcher_;
  const auto& endpoints = dispatcher.Endpoints();
  const int64_t now = EventLoop::NowMs();
  aMetrics.Set(Gauge::kInFlight, aGauges.inFlight_);
  aMetrics.Set(Gauge::kQueued, static_cast<int64_t>(dispatcher.Queued()));
  aMetrics.Set(Gauge::kEndpoints, static_cast<int64_t>(endpoints.Size()));
  aMetrics.Set(Gauge::kColdEndpoints, endpoints.ColdEndpoints().ColdCount(now));
  aMetrics.Set(Gauge::kEvacuatedDomains,
               static_cast<int64_t>(endpoints.Evacuated().Size()));
  const routing::PrefillView& prefill = endpoints.OthersPrefill();
  aMetrics.Set(Gauge::kPendingPrefillTokens, prefill.Busiest(now));
  aMetrics.Set(Gauge::kPendingPrefillAgeMs, prefill.AgeMs(now));
  aMetrics.Set(Gauge::kPendingSettlements, aGauges.pendingSettlements_);
  aMetrics.Set(Gauge::kConfigRevision, aGauges.configRevision_);
  control::SetHeldGauges(aGauges.callersMemory_, aMetrics);
}

} // namespace cactuswick::router

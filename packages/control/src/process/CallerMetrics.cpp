#include "cactuswick/control/process/CallerMetrics.h"

#include <array>

#include "cactuswick/model/process/Text.h"
#include "cactuswick/telemetry/process/Log.h"

namespace cactuswick::control {

namespace {

using telemetry::Gauge;
using transport::HeldKind;

struct HeldGauge
{
  Gauge gauge_;
  HeldKind kind_;
};

constexpr std::array kHeldGauges = {
  HeldGauge{ Gauge::kHeldConnectionBytes, HeldKind::kConnection },
  HeldGauge{ Gauge::kHeldHeadBytes, HeldKind::kHead },
  HeldGauge{ Gauge::kHeldBodyBytes, HeldKind::kBody },
  HeldGauge{ Gauge::kHeldRequestBytes, HeldKind::kRequest },
  HeldGauge{ Gauge::kHeldResponseBytes, HeldKind::kResponse },
};

} // namespace

void
CountCuts(transport::CallerConnections& aCallers, telemetry::Metrics& aMetrics)
{
  aCallers.SetCutHook(
    [&aMetrics](transport::CutReason aReason, const std::string& aDetail) {
      const std::string reason = transport::NameOf(aReason);
      aMetrics.Count(telemetry::Counter::kConnectionsCut, 1, reason);
      if (!aDetail.empty()) {
        telemetry::Log(
          telemetry::Part::kCaller,
          telemetry::Level::kWarning,
          model::Concat("refused a request: ", reason, ", ", aDetail));
      }
    });
}

void
SetHeldGauges(const transport::MemoryBudget& aBudget,
              telemetry::Metrics& aMetrics)
{
  for (const auto& [gauge, kind] : kHeldGauges) {
    aMetrics.Set(gauge, static_cast<int64_t>(aBudget.HeldBytes(kind)));
  }
}

} // namespace cactuswick::control

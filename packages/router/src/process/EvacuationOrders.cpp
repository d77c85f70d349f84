#include "process/EvacuationOrders.h"

#include <string>
#include <vector>

#include "cactuswick/model/process/Text.h"
#include "cactuswick/telemetry/process/Log.h"

namespace cactuswick::router {

routing::Evacuations
EvacuationsIn(const ledger::ConfigDelta& aDelta)
{
  std::vector<std::string> domains;
  for (const auto& record : *aDelta.evacuations_) {
    domains.push_back(record.failureDomain_);
  }
  return routing::Evacuations(domains);
}

void
LogEvacuations(const routing::Evacuations& aEvacuations, int64_t aRevision)
{
  telemetry::Log(telemetry::Part::kRouter,
                 telemetry::Level::kInfo,
                 model::Concat("evacuations in force domains=",
                               aEvacuations.ToString(),
                               " revision=",
                               aRevision));
}

} // namespace cactuswick::router

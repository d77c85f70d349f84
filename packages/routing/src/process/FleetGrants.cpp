#include "cactuswick/routing/process/FleetGrants.h"

#include <algorithm>
#include <map>
#include <utility>

#include "cactuswick/model/process/Hash.h"

namespace cactuswick::routing {

namespace {

/// Reserve holders of a budget per failure domain; one may fail.
constexpr size_t kReserveHoldersPerDomain = 2;
/// Reserve of a fleet of up to @c kSmallFleet routers, and the limit that it
/// approaches in large ones. The limit leaves a part of what the ledger grants
/// ahead to the routers' recent use.
constexpr double kMinReservePercent = 8;
constexpr double kMaxReservePercent = 24;
constexpr double kSmallFleet = 12;
constexpr int64_t kMinReportIntervalMs = 500;
/// Maximum rate of usage reports at the leader, from all routers together.
constexpr int64_t kMaxReportsPerSecond = 100;
constexpr int64_t kMsPerSecond = 1'000;

} // namespace

std::vector<ledger::Incarnation>
SelectReserveHolders(const std::string& aBudget,
                     const std::vector<ledger::RouterRecord>& aRouters)
{
  using Scored = std::pair<uint64_t, ledger::Incarnation>;
  std::map<std::string, std::vector<Scored>> domains;
  const uint64_t seed = model::Hash64(aBudget);
  for (const auto& router : aRouters) {
    if (router.state_ == ledger::RouterState::kServing) {
      domains[router.failureDomain_].emplace_back(
        model::Hash64(router.vm_, seed), router.incarnation_);
    }
  }
  std::vector<ledger::Incarnation> holders;
  for (auto& [domain, scored] : domains) {
    std::sort(scored.rbegin(), scored.rend());
    for (size_t i = 0; i < std::min(kReserveHoldersPerDomain, scored.size());
         ++i) {
      holders.push_back(scored[i].second);
    }
  }
  return holders;
}

double
ReservePercent(int64_t aServingRouters)
{
  const double routers =
    std::max(kSmallFleet, static_cast<double>(aServingRouters));
  const double growth = kMaxReservePercent - kMinReservePercent;
  return kMaxReservePercent - growth * kSmallFleet / routers;
}

int64_t
ReportIntervalMs(int64_t aServingRouters)
{
  return std::max(kMinReportIntervalMs,
                  aServingRouters * kMsPerSecond / kMaxReportsPerSecond);
}

} // namespace cactuswick::routing

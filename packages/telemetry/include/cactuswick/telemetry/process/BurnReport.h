#pragma once

#include <string>
#include <vector>

#include "cactuswick/telemetry/process/BurnTable.h"

namespace cactuswick::telemetry {

/// Report line for one objective, rank and workspace, over all routers.
struct BurnLine
{
  BurnRow row_;
  /// Fraction of the error budget consumed; above 1 the objective is missed.
  double errorBudgetUsed_ = 0;
  /// Burn rates over the short and the long window: the share of bad events
  /// over the allowed share. At 1 the error budget is just used up.
  double shortBurnRate_ = 0;
  double longBurnRate_ = 0;
};

/// Sums the rows of all routers and computes the burn rates.
std::vector<BurnLine>
MakeBurnReport(const std::vector<BurnRows>& aRouters);

std::string
BurnReportAsTable(const std::vector<BurnLine>& aLines);

std::string
BurnReportAsJson(const std::vector<BurnLine>& aLines);

/// Returns a self-contained HTML page with a bar per objective.
std::string
BurnReportAsHtml(const std::vector<BurnLine>& aLines);

} // namespace cactuswick::telemetry

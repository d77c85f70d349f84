#pragma once

#include <string>
#include <vector>

#include "cactuswick/telemetry/process/BurnTable.h"

namespace cactuswick::telemetry {

/// One line of the report: an objective of a rank and a workspace.
struct BurnLine
{
  BurnRow row_;
  /// Share of the error budget used; above 1 the objective is broken.
  double errorBudgetUsed_ = 0;
  /// Speed at which the error budget is used; 1 just uses it up.
  double shortBurnRate_ = 0;
  double longBurnRate_ = 0;
};

/// Adds up the rows of all routers and works out the burn rates.
std::vector<BurnLine>
MakeBurnReport(const std::vector<BurnRows>& aRouters);

std::string
BurnReportAsTable(const std::vector<BurnLine>& aLines);

std::string
BurnReportAsJson(const std::vector<BurnLine>& aLines);

/// A self-contained page with a bar per objective.
std::string
BurnReportAsHtml(const std::vector<BurnLine>& aLines);

} // namespace cactuswick::telemetry

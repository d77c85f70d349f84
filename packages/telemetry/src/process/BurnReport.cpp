#include "cactuswick/telemetry/process/BurnReport.h"

#include <algorithm>
#include <limits>

#include <absl/strings/str_format.h>
#include <nlohmann/json.hpp>

#include "cactuswick/model/process/Json.h"
#include "cactuswick/model/process/Text.h"

namespace cactuswick::telemetry {

namespace {

/// Burn rate of a violated objective that allows no violations.
constexpr double kUnboundedBurnRate = 1'000'000;
/// Burn rates at which an operator should investigate and should act.
constexpr double kWarningBurnRate = 1;
constexpr double kAlertBurnRate = 6;
constexpr double kPixelsPerBurnRate = 40;
constexpr double kMaxBarWidthPixels = 400;

double
BurnRate(Objective aObjective, int64_t aTotal, int64_t aBad)
{
  if (aTotal == 0 || aBad == 0) {
    return 0;
  }
  const double allowed = 1 - TargetOf(aObjective);
  const double share = static_cast<double>(aBad) / static_cast<double>(aTotal);
  return allowed <= 0 ? kUnboundedBurnRate : share / allowed;
}

bool
IsSameObjective(const BurnRow& aOne, const BurnRow& aOther)
{
  return aOne.objective_ == aOther.objective_ && aOne.rank_ == aOther.rank_ &&
         aOne.workspace_ == aOther.workspace_;
}

void
AddTo(BurnRow& aSum, const BurnRow& aRow)
{
  aSum.total_ += aRow.total_;
  aSum.bad_ += aRow.bad_;
  aSum.shortTotal_ += aRow.shortTotal_;
  aSum.shortBad_ += aRow.shortBad_;
  aSum.longTotal_ += aRow.longTotal_;
  aSum.longBad_ += aRow.longBad_;
}

std::string
NameOf(Objective aObjective)
{
  return std::string(EnumNames(&aObjective)[static_cast<size_t>(aObjective)]);
}

std::string
ColorOf(const BurnLine& aLine)
{
  if (aLine.shortBurnRate_ >= kAlertBurnRate &&
      aLine.longBurnRate_ >= kAlertBurnRate) {
    return "#b3261e";
  }
  return aLine.longBurnRate_ >= kWarningBurnRate ? "#b26a00" : "#2e7d32";
}

std::string
HtmlRow(const BurnLine& aLine)
{
  const double width =
    std::min(kMaxBarWidthPixels, aLine.longBurnRate_ * kPixelsPerBurnRate) + 1;
  return absl::StrFormat(
    "<tr><td>%s</td><td>%s</td><td>%s</td><td>%d</td><td>%d</td>"
    "<td>%.2f</td><td>%.2f</td><td>%.2f</td><td><svg width=\"410\" "
    "height=\"14\" role=\"img\"><rect width=\"%.0f\" height=\"14\" "
    "fill=\"%s\"/><line x1=\"%.0f\" x2=\"%.0f\" y1=\"0\" y2=\"14\" "
    "stroke=\"#333\"/></svg></td></tr>\n",
    NameOf(aLine.row_.objective_),
    aLine.row_.rank_,
    aLine.row_.workspace_,
    aLine.row_.total_,
    aLine.row_.bad_,
    aLine.errorBudgetUsed_,
    aLine.shortBurnRate_,
    aLine.longBurnRate_,
    width,
    ColorOf(aLine),
    kPixelsPerBurnRate,
    kPixelsPerBurnRate);
}

} // namespace

std::vector<BurnLine>
MakeBurnReport(const std::vector<BurnRows>& aRouters)
{
  std::vector<BurnLine> lines;
  for (const auto& router : aRouters) {
    for (const auto& row : router.rows_) {
      const auto found =
        std::find_if(lines.begin(), lines.end(), [&](const BurnLine& aLine) {
          return IsSameObjective(aLine.row_, row);
        });
      if (found == lines.end()) {
        lines.push_back({ .row_ = row });
      } else {
        AddTo(found->row_, row);
      }
    }
  }
  for (auto& line : lines) {
    const BurnRow& row = line.row_;
    line.errorBudgetUsed_ = BurnRate(row.objective_, row.total_, row.bad_);
    line.shortBurnRate_ =
      BurnRate(row.objective_, row.shortTotal_, row.shortBad_);
    line.longBurnRate_ = BurnRate(row.objective_, row.longTotal_, row.longBad_);
  }
  return lines;
}

std::string
BurnReportAsTable(const std::vector<BurnLine>& aLines)
{
  std::string text = absl::StrFormat("%-17s %-12s %-20s %9s %7s %8s %8s %8s\n",
                                     "OBJECTIVE",
                                     "RANK",
                                     "WORKSPACE",
                                     "EVENTS",
                                     "BAD",
                                     "USED",
                                     "BURN 5m",
                                     "BURN 1h");
  for (const auto& line : aLines) {
    absl::StrAppendFormat(&text,
                          "%-17s %-12s %-20s %9d %7d %8.2f %8.2f %8.2f\n",
                          NameOf(line.row_.objective_),
                          line.row_.rank_,
                          line.row_.workspace_,
                          line.row_.total_,
                          line.row_.bad_,
                          line.errorBudgetUsed_,
                          line.shortBurnRate_,
                          line.longBurnRate_);
  }
  return text;
}

std::string
BurnReportAsJson(const std::vector<BurnLine>& aLines)
{
  auto list = nlohmann::json::array();
  for (const auto& line : aLines) {
    list.push_back({ { "objective", NameOf(line.row_.objective_) },
                     { "target", TargetOf(line.row_.objective_) },
                     { "rank", line.row_.rank_ },
                     { "workspace", line.row_.workspace_ },
                     { "events", line.row_.total_ },
                     { "bad", line.row_.bad_ },
                     { "error_budget_used", line.errorBudgetUsed_ },
                     { "burn_5m", line.shortBurnRate_ },
                     { "burn_1h", line.longBurnRate_ } });
  }
  return model::PrintJson(list, 2);
}

std::string
BurnReportAsHtml(const std::vector<BurnLine>& aLines)
{
  std::string page =
    "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
    "<title>Service-level burn</title><style>body{font:14px sans-serif;"
    "margin:2em}table{border-collapse:collapse}td,th{padding:4px 10px;"
    "border-bottom:1px solid #ddd;text-align:left}</style></head><body>"
    "<h1>Service-level burn</h1><p>Bars show the burn rate over one hour; "
    "the line marks 1, the rate that just uses up the error budget.</p>"
    "<table><tr><th>Objective</th><th>Rank</th><th>Workspace</th>"
    "<th>Events</th><th>Bad</th><th>Error budget used</th>"
    "<th>Burn 5 min</th><th>Burn 1 h</th><th></th></tr>\n";
  for (const auto& line : aLines) {
    page += HtmlRow(line);
  }
  return page + "</table></body></html>\n";
}

} // namespace cactuswick::telemetry

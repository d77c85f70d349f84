#include "process/Measures.h"

#include <algorithm>
#include <functional>
#include <set>
#include <string>

namespace cactuswick::replay {

namespace {

double
Quantile(std::vector<int64_t> aValues, double aFraction)
{
  if (aValues.empty()) {
    return -1;
  }
  std::sort(aValues.begin(), aValues.end());
  const auto index =
    static_cast<size_t>(aFraction * static_cast<double>(aValues.size()));
  return static_cast<double>(aValues[std::min(index, aValues.size() - 1)]);
}

bool
IsInWindow(const Trace& aTrace, int64_t aMs)
{
  return aMs >= aTrace.windowStartMs_ && aMs < aTrace.windowEndMs_;
}

/// Returns the results of requests that arrived in the measurement window.
std::vector<Result>
ResultsInWindow(const Trace& aTrace, const std::vector<Result>& aResults)
{
  std::vector<Result> inWindow;
  for (const auto& result : aResults) {
    if (IsInWindow(aTrace, result.arrival_.atMs_)) {
      inWindow.push_back(result);
    }
  }
  return inWindow;
}

double
DeadlinesMet(const std::vector<Result>& aResults, int64_t aPriority)
{
  int64_t met = 0;
  int64_t all = 0;
  for (const auto& result : aResults) {
    const bool small = result.arrival_.workspace_.starts_with("small-");
    if (result.arrival_.priority_ == aPriority && small) {
      ++all;
      met += result.IsComplete() &&
                 result.TotalTimeMs() <= result.arrival_.deadlineMs_
               ? 1
               : 0;
    }
  }
  return all == 0 ? -1
                  : 100.0 * static_cast<double>(met) / static_cast<double>(all);
}

double
TokensOf(const Arrival& aArrival)
{
  return static_cast<double>(aArrival.answerTokens_ + aArrival.promptTokens_);
}

/// Returns @p aPart as a percentage of the tokens of requests that completed
/// in the measurement window.
double
PercentOfFinished(const Trace& aTrace,
                  const std::vector<Result>& aResults,
                  double aPart)
{
  double finished = 0;
  for (const auto& result : aResults) {
    finished +=
      IsInWindow(aTrace, result.endMs_) ? TokensOf(result.arrival_) : 0;
  }
  return finished == 0 ? 0 : 100 * aPart / finished;
}

/// Sums the tokens of a rank's requests for which @p aTimeOf returns a time in
/// the measurement window.
double
TokensInWindow(const Trace& aTrace,
               const std::vector<Result>& aResults,
               int64_t aPriority,
               const std::function<int64_t(const Result&)>& aTimeOf)
{
  double tokens = 0;
  for (const auto& result : aResults) {
    const bool counts = result.arrival_.priority_ == aPriority &&
                        IsInWindow(aTrace, aTimeOf(result));
    tokens += counts ? TokensOf(result.arrival_) : 0;
  }
  return tokens;
}

/// Returns a rank's percentage of the tokens completed in the measurement
/// window.
double
ShareOf(const Trace& aTrace,
        const std::vector<Result>& aResults,
        int64_t aPriority)
{
  const double own =
    TokensInWindow(aTrace, aResults, aPriority, [](const Result& aResult) {
      return aResult.endMs_;
    });
  return PercentOfFinished(aTrace, aResults, own);
}

/// Returns the tokens a rank requested in the measurement window, as a
/// percentage of the tokens completed in it, like ShareOf.
double
DemandOf(const Trace& aTrace,
         const std::vector<Result>& aResults,
         int64_t aPriority)
{
  const double asked =
    TokensInWindow(aTrace, aResults, aPriority, [](const Result& aResult) {
      return aResult.arrival_.atMs_;
    });
  return PercentOfFinished(aTrace, aResults, asked);
}

double
MeanTotalTimeMs(const std::vector<Result>& aResults,
                const std::string& aWorkspace)
{
  // Leaves out the least urgent rank: it is declared to wait behind the others,
  // so its delay doesn't depend on which workspace sends the load.
  double sum = 0;
  int64_t count = 0;
  for (const auto& result : aResults) {
    if (result.arrival_.workspace_ == aWorkspace && result.IsComplete() &&
        result.arrival_.priority_ < kRanks - 1) {
      sum += static_cast<double>(result.TotalTimeMs());
      ++count;
    }
  }
  return count == 0 ? 0 : sum / static_cast<double>(count);
}

/// Returns the slowdown of each small workspace relative to a replay in which
/// it has the fleet to itself.
std::vector<double>
Slowdowns(const Trace& aTrace,
          const std::vector<Result>& aResults,
          Policy aPolicy,
          uint64_t aSeed)
{
  std::set<std::string> small;
  for (const auto& result : aResults) {
    if (result.arrival_.workspace_.starts_with("small-")) {
      small.insert(result.arrival_.workspace_);
    }
  }
  std::vector<double> slowdowns;
  const auto inWindow = ResultsInWindow(aTrace, aResults);
  for (const auto& workspace : small) {
    const Trace alone = FilterByWorkspace(aTrace, workspace);
    const auto aloneMs = MeanTotalTimeMs(
      ResultsInWindow(alone, Run(alone, aPolicy, aSeed)), workspace);
    slowdowns.push_back(MeanTotalTimeMs(inWindow, workspace) / aloneMs);
  }
  return slowdowns;
}

double
JainIndex(const std::vector<double>& aValues)
{
  double sum = 0;
  double squares = 0;
  for (const double value : aValues) {
    sum += value;
    squares += value * value;
  }
  const auto count = static_cast<double>(aValues.size());
  return squares == 0 ? 0 : sum * sum / (count * squares);
}

/// Fills in the measures that are taken over individual requests.
void
CountOutcomes(const std::vector<Result>& aInWindow, Measures& aMeasures)
{
  std::vector<int64_t> timesToFirstToken;
  int64_t hits = 0;
  int64_t placed = 0;
  for (const auto& result : aInWindow) {
    if (result.arrival_.priority_ == 0 && result.firstTokenMs_ >= 0) {
      timesToFirstToken.push_back(result.TimeToFirstTokenMs());
    }
    aMeasures.refused_ += result.refused_ ? 1 : 0;
    aMeasures.falselyRefused_ += result.falselyRefused_ ? 1 : 0;
    aMeasures.failed_ += result.failed_ ? 1 : 0;
    aMeasures.retries_ += result.retries_;
    hits += result.prefixHit_ ? 1 : 0;
    placed += result.firstTokenMs_ >= 0 ? 1 : 0;
  }
  aMeasures.firstTokenP50Ms_ = Quantile(timesToFirstToken, 0.5);
  aMeasures.firstTokenP95Ms_ = Quantile(timesToFirstToken, 0.95);
  aMeasures.firstTokenP99Ms_ = Quantile(timesToFirstToken, 0.99);
  aMeasures.prefixHits_ = placed == 0 ? 0
                                      : 100.0 * static_cast<double>(hits) /
                                          static_cast<double>(placed);
}

} // namespace

Measures
Measure(const Trace& aTrace, Policy aPolicy, uint64_t aSeed)
{
  const auto results = Run(aTrace, aPolicy, aSeed);
  const auto inWindow = ResultsInWindow(aTrace, results);
  Measures measures;
  CountOutcomes(inWindow, measures);
  for (int64_t rank = 0; rank < kRanks; ++rank) {
    const auto index = static_cast<size_t>(rank);
    measures.deadlinesMet_[index] = DeadlinesMet(inWindow, rank);
    measures.tokenDemand_[index] = DemandOf(aTrace, results, rank);
    measures.tokenShare_[index] = ShareOf(aTrace, results, rank);
  }
  const auto slowdowns = Slowdowns(aTrace, results, aPolicy, aSeed);
  if (!slowdowns.empty()) {
    measures.worstSlowdown_ =
      *std::max_element(slowdowns.begin(), slowdowns.end());
  }
  measures.jainIndex_ = JainIndex(slowdowns);
  return measures;
}

} // namespace cactuswick::replay

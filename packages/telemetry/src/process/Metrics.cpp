#include "cactuswick/telemetry/process/Metrics.h"

#include <array>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include "cactuswick/model/process/Text.h"

namespace cactuswick::telemetry {

namespace {

namespace acc = boost::accumulators;
using Accumulator = acc::accumulator_set<
  double,
  acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square>>;

constexpr std::array<double, 3> kQuantiles = { 0.5, 0.95, 0.99 };

/// A metric's exposed name and the meaning of its label.
struct Name
{
  std::string_view name_;
  std::string_view label_ = {};
};

// In the order of the enumerations.
constexpr std::array kCounterNames = {
  Name{ "requests_total", "rank" },
  Name{ "answered_whole_total", "rank" },
  Name{ "refused_total", "reason" },
  Name{ "outcome_unknown_total", "rank" },
  Name{ "retries_total" },
  Name{ "tokens_billed_total" },
  Name{ "tokens_streamed_total" },
  Name{ "settlements_committed_total" },
  Name{ "settlements_duplicate_total" },
  Name{ "settlements_held_total" },
  Name{ "settlements_copied_total" },
  Name{ "grants_acquired_total" },
  Name{ "grants_denied_total" },
  Name{ "grants_recalled_total" },
  Name{ "tokens_borrowed_total" },
  Name{ "tokens_lent_total" },
  Name{ "config_changes_total" },
  Name{ "log_entries_committed_total" },
  Name{ "log_syncs_total" },
  Name{ "elections_total" },
  Name{ "snapshots_total" },
  Name{ "pushed_bytes_total" },
  Name{ "snapshot_transfers_total", "begin" },
  Name{ "votes_denied_total" },
  Name{ "elections_failed_total" },
  Name{ "traffic_bytes_total", "way" },
};
constexpr std::array kSummaryNames = {
  Name{ "first_token_ms", "rank" },
  Name{ "total_ms", "rank" },
  Name{ "queue_ms", "rank" },
  Name{ "settle_ms" },
  Name{ "grant_wait_ms" },
  Name{ "control_trip_ms" },
  Name{ "commit_ms" },
  Name{ "sync_ms" },
  Name{ "writes_per_sync" },
  Name{ "turn_ms" },
  Name{ "catch_up_ms" },
};
constexpr std::array kGaugeNames = {
  Name{ "in_flight" },
  Name{ "queued" },
  Name{ "endpoints" },
  Name{ "pending_settlements" },
  Name{ "config_revision" },
  Name{ "leader" },
  Name{ "term" },
  Name{ "commit_index" },
  Name{ "settled_keys" },
  Name{ "voters" },
  Name{ "learners" },
};

static_assert(kCounterNames.size() ==
              static_cast<size_t>(Counter::kTrafficBytes) + 1);
static_assert(kSummaryNames.size() ==
              static_cast<size_t>(Summary::kCatchUpMs) + 1);
static_assert(kGaugeNames.size() == static_cast<size_t>(Gauge::kLearners) + 1);

constexpr std::string_view kPrefix = "cactuswick_";

/// One series of a metric.
template<class Metric>
struct Series
{
  Metric metric_;
  std::string label_;

  auto operator<=>(const Series&) const = default;
};

std::string
LabelText(const Name& aName, std::string_view aValue)
{
  if (aValue.empty()) {
    return "";
  }
  return model::Concat(aName.label_, "=\"", aValue, "\"");
}

std::string
Braced(const std::string& aLabels)
{
  return aLabels.empty() ? "" : model::Concat("{", aLabels, "}");
}

void
ExposeType(std::string& aText, const Name& aName, std::string_view aType)
{
  model::AppendTo(aText, "# TYPE ", kPrefix, aName.name_, " ", aType, "\n");
}

void
ExposeSummary(std::string& aText,
              const Name& aName,
              const std::string& aLabel,
              const Accumulator& aAccumulator)
{
  const std::string label = LabelText(aName, aLabel);
  for (size_t i = 0; i < kQuantiles.size(); ++i) {
    const std::string quantile =
      model::Concat("quantile=\"", kQuantiles[i], "\"");
    model::AppendTo(
      aText,
      kPrefix,
      aName.name_,
      Braced(label.empty() ? quantile : model::Concat(label, ",", quantile)),
      " ",
      acc::extended_p_square(aAccumulator)[static_cast<std::ptrdiff_t>(i)],
      "\n");
  }
  model::AppendTo(aText,
                  kPrefix,
                  aName.name_,
                  "_sum",
                  Braced(label),
                  " ",
                  acc::sum(aAccumulator),
                  "\n");
  model::AppendTo(aText,
                  kPrefix,
                  aName.name_,
                  "_count",
                  Braced(label),
                  " ",
                  acc::count(aAccumulator),
                  "\n");
}

} // namespace

struct Metrics::State
{
  std::map<Series<Counter>, int64_t> counters_;
  std::map<Series<Summary>, Accumulator> summaries_;
  std::map<Gauge, int64_t> gauges_;
};

Metrics::Metrics()
  : state_(std::make_unique<State>())
{
}

Metrics::~Metrics() = default;

void
Metrics::Count(Counter aCounter, int64_t aBy, std::string_view aLabel)
{
  state_->counters_[{ aCounter, std::string(aLabel) }] += aBy;
}

void
Metrics::Observe(Summary aSummary, double aValue, std::string_view aLabel)
{
  const Series<Summary> series{ aSummary, std::string(aLabel) };
  const auto found =
    state_->summaries_
      .try_emplace(
        series, Accumulator(acc::extended_p_square_probabilities = kQuantiles))
      .first;
  found->second(aValue);
}

void
Metrics::Set(Gauge aGauge, int64_t aValue)
{
  state_->gauges_[aGauge] = aValue;
}

int64_t
Metrics::Value(Counter aCounter, std::string_view aLabel) const
{
  const auto found = state_->counters_.find({ aCounter, std::string(aLabel) });
  return found == state_->counters_.end() ? 0 : found->second;
}

std::string
Metrics::Expose() const
{
  std::string text;
  std::string_view last;
  const auto typeOnce = [&](const Name& aName, std::string_view aType) {
    if (aName.name_ != last) {
      ExposeType(text, aName, aType);
      last = aName.name_;
    }
  };
  for (const auto& [series, value] : state_->counters_) {
    const Name& name = kCounterNames[static_cast<size_t>(series.metric_)];
    typeOnce(name, "counter");
    model::AppendTo(text,
                    kPrefix,
                    name.name_,
                    Braced(LabelText(name, series.label_)),
                    " ",
                    value,
                    "\n");
  }
  for (const auto& [series, accumulator] : state_->summaries_) {
    const Name& name = kSummaryNames[static_cast<size_t>(series.metric_)];
    typeOnce(name, "summary");
    ExposeSummary(text, name, series.label_, accumulator);
  }
  for (const auto& [gauge, value] : state_->gauges_) {
    const Name& name = kGaugeNames[static_cast<size_t>(gauge)];
    typeOnce(name, "gauge");
    model::AppendTo(text, kPrefix, name.name_, " ", value, "\n");
  }
  return text;
}

} // namespace cactuswick::telemetry

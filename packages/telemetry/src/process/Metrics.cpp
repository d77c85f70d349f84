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

/// Exposed name of a metric and the name of its label.
struct MetricName
{
  std::string_view name_;
  std::string_view label_ = {};
};

// The tables are in the order of the enumerations.
constexpr std::array kCounterNames = {
  MetricName{ "requests_total", "rank" },
  MetricName{ "answered_whole_total", "rank" },
  MetricName{ "refused_total", "reason" },
  MetricName{ "outcome_unknown_total", "rank" },
  MetricName{ "retries_total" },
  MetricName{ "tokens_billed_total" },
  MetricName{ "tokens_streamed_total" },
  MetricName{ "settlements_committed_total" },
  MetricName{ "settlements_duplicate_total" },
  MetricName{ "settlements_held_total" },
  MetricName{ "settlements_copied_total" },
  MetricName{ "grants_acquired_total" },
  MetricName{ "grants_denied_total" },
  MetricName{ "grants_recalled_total" },
  MetricName{ "tokens_borrowed_total" },
  MetricName{ "tokens_lent_total" },
  MetricName{ "config_changes_total" },
  MetricName{ "log_entries_committed_total" },
  MetricName{ "log_syncs_total" },
  MetricName{ "elections_total" },
  MetricName{ "snapshots_total" },
  MetricName{ "pushed_bytes_total" },
  MetricName{ "snapshot_transfers_total", "begin" },
  MetricName{ "votes_denied_total" },
  MetricName{ "elections_failed_total" },
  MetricName{ "traffic_bytes_total", "way" },
  MetricName{ "endpoint_breaks_total" },
  MetricName{ "parts_quarantined_total" },
  MetricName{ "part_probes_total", "result" },
  MetricName{ "endpoints_backing_off_total" },
  MetricName{ "endpoints_leaving_total" },
  MetricName{ "attempts_withdrawn_total" },
  MetricName{ "evacuation_refusals_total" },
  MetricName{ "connections_cut_total", "reason" },
  MetricName{ "responses_skipped_total" },
  MetricName{ "responses_after_skipped_total" },
  MetricName{ "origins_unknown_total" },
  MetricName{ "cut_off_total" },
  MetricName{ "tunnels_opened_total" },
  MetricName{ "tunnelled_attempts_total" },
};
constexpr std::array kSummaryNames = {
  MetricName{ "first_token_ms", "rank" },
  MetricName{ "total_ms", "rank" },
  MetricName{ "queue_ms", "rank" },
  MetricName{ "settle_ms" },
  MetricName{ "grant_wait_ms" },
  MetricName{ "first_event_long_ms" },
  MetricName{ "first_event_short_ms" },
  MetricName{ "control_trip_ms" },
  MetricName{ "commit_ms" },
  MetricName{ "sync_ms" },
  MetricName{ "writes_per_sync" },
  MetricName{ "turn_ms" },
  MetricName{ "catch_up_ms" },
};
constexpr std::array kGaugeNames = {
  MetricName{ "in_flight" },
  MetricName{ "queued" },
  MetricName{ "endpoints" },
  MetricName{ "pending_settlements" },
  MetricName{ "config_revision" },
  MetricName{ "leader" },
  MetricName{ "term" },
  MetricName{ "commit_index" },
  MetricName{ "settled_keys" },
  MetricName{ "voters" },
  MetricName{ "learners" },
  MetricName{ "quarantined_parts" },
  MetricName{ "evacuated_domains" },
  MetricName{ "cold_endpoints" },
  MetricName{ "held_connection_bytes" },
  MetricName{ "held_head_bytes" },
  MetricName{ "held_body_bytes" },
  MetricName{ "held_request_bytes" },
  MetricName{ "held_response_bytes" },
  MetricName{ "pending_prefill_tokens" },
  MetricName{ "pending_prefill_age_ms" },
};

static_assert(kCounterNames.size() ==
              static_cast<size_t>(Counter::kTunnelledAttempts) + 1);
static_assert(kSummaryNames.size() ==
              static_cast<size_t>(Summary::kCatchUpMs) + 1);
static_assert(kGaugeNames.size() ==
              static_cast<size_t>(Gauge::kPendingPrefillAgeMs) + 1);

constexpr std::string_view kPrefix = "cactuswick_";

/// A metric with one value of its label.
template<class Metric>
struct Series
{
  Metric metric_;
  std::string label_;

  auto operator<=>(const Series&) const = default;
};

std::string
FormatLabel(const MetricName& aName, std::string_view aValue)
{
  if (aValue.empty()) {
    return "";
  }
  return model::Concat(aName.label_, "=\"", aValue, "\"");
}

std::string
InBraces(const std::string& aLabels)
{
  return aLabels.empty() ? "" : model::Concat("{", aLabels, "}");
}

void
ExposeType(std::string& aText, const MetricName& aName, std::string_view aType)
{
  model::AppendTo(aText, "# TYPE ", kPrefix, aName.name_, " ", aType, "\n");
}

void
ExposeSummary(std::string& aText,
              const MetricName& aName,
              const std::string& aLabel,
              const Accumulator& aAccumulator)
{
  const std::string label = FormatLabel(aName, aLabel);
  for (size_t i = 0; i < kQuantiles.size(); ++i) {
    const std::string quantile =
      model::Concat("quantile=\"", kQuantiles[i], "\"");
    model::AppendTo(
      aText,
      kPrefix,
      aName.name_,
      InBraces(label.empty() ? quantile : model::Concat(label, ",", quantile)),
      " ",
      acc::extended_p_square(aAccumulator)[static_cast<std::ptrdiff_t>(i)],
      "\n");
  }
  model::AppendTo(aText,
                  kPrefix,
                  aName.name_,
                  "_sum",
                  InBraces(label),
                  " ",
                  acc::sum(aAccumulator),
                  "\n");
  model::AppendTo(aText,
                  kPrefix,
                  aName.name_,
                  "_count",
                  InBraces(label),
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
  const auto typeOnce = [&](const MetricName& aName, std::string_view aType) {
    if (aName.name_ != last) {
      ExposeType(text, aName, aType);
      last = aName.name_;
    }
  };
  for (const auto& [series, value] : state_->counters_) {
    const MetricName& name = kCounterNames[static_cast<size_t>(series.metric_)];
    typeOnce(name, "counter");
    model::AppendTo(text,
                    kPrefix,
                    name.name_,
                    InBraces(FormatLabel(name, series.label_)),
                    " ",
                    value,
                    "\n");
  }
  for (const auto& [series, accumulator] : state_->summaries_) {
    const MetricName& name = kSummaryNames[static_cast<size_t>(series.metric_)];
    typeOnce(name, "summary");
    ExposeSummary(text, name, series.label_, accumulator);
  }
  for (const auto& [gauge, value] : state_->gauges_) {
    const MetricName& name = kGaugeNames[static_cast<size_t>(gauge)];
    typeOnce(name, "gauge");
    model::AppendTo(text, kPrefix, name.name_, " ", value, "\n");
  }
  return text;
}

} // namespace cactuswick::telemetry

#include "cactuswick/telemetry/process/BurnTable.h"

#include "cactuswick/model/process/CodecImpl.h"

CACTUSWICK_INSTANTIATE_CODEC(cactuswick::telemetry::BurnRows);

namespace cactuswick::telemetry {

namespace {

constexpr int64_t kBucketMs = 10'000;

} // namespace

double
TargetOf(Objective aObjective)
{
  switch (aObjective) {
    case Objective::kNoOverspend:
      return 1.0;
    case Objective::kNoFalseRefusal:
      return 0.999;
    case Objective::kFirstToken:
      return 0.95;
    case Objective::kDeadline:
      return 0.99;
  }
  return 1.0;
}

void
BurnTable::Add(Objective aObjective,
               const std::string& aRank,
               const std::string& aWorkspace,
               bool aMet,
               int64_t aNowMs)
{
  Totals& line = totals_[{ aObjective, aRank, aWorkspace }];
  const int64_t start = aNowMs - aNowMs % kBucketMs;
  if (line.buckets_.empty() || line.buckets_.back().startMs_ != start) {
    line.buckets_.push_back({ start, 0, 0 });
  }
  while (line.buckets_.front().startMs_ < aNowMs - kLongWindowMs) {
    line.buckets_.pop_front();
  }
  const int64_t bad = aMet ? 0 : 1;
  ++line.total_;
  line.bad_ += bad;
  ++line.buckets_.back().total_;
  line.buckets_.back().bad_ += bad;
}

BurnRows
BurnTable::Rows(int64_t aNowMs) const
{
  BurnRows rows;
  for (const auto& [key, line] : totals_) {
    BurnRow row{ .objective_ = key.objective_,
                 .rank_ = key.rank_,
                 .workspace_ = key.workspace_,
                 .total_ = line.total_,
                 .bad_ = line.bad_ };
    for (const auto& bucket : line.buckets_) {
      const int64_t age = aNowMs - bucket.startMs_;
      row.longTotal_ += age <= kLongWindowMs ? bucket.total_ : 0;
      row.longBad_ += age <= kLongWindowMs ? bucket.bad_ : 0;
      row.shortTotal_ += age <= kShortWindowMs ? bucket.total_ : 0;
      row.shortBad_ += age <= kShortWindowMs ? bucket.bad_ : 0;
    }
    rows.rows_.push_back(std::move(row));
  }
  return rows;
}

} // namespace cactuswick::telemetry

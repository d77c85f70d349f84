#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "cactuswick/model/process/Fields.h"

namespace cactuswick::telemetry {

/// Service-level objectives. Each recorded event meets or misses one.
enum class Objective
{
  /// Spending never exceeds the prepaid budget; no violation is allowed.
  kNoOverspend,
  /// No request is refused that could have been served.
  kNoFalseRefusal,
  /// The first token arrives within the rank's target.
  kFirstToken,
  /// The answer is complete before the request's deadline.
  kDeadline,
};

constexpr std::array<std::string_view, 4>
EnumNames(const Objective*)
{
  return { "no_overspend", "no_false_refusal", "first_token", "deadline" };
}

/// Returns the share of events that must meet @p aObjective.
double
TargetOf(Objective aObjective);

/// Event counts of one objective, rank and workspace: since the start, and
/// over the short and the long window.
struct BurnRow
{
  Objective objective_ = Objective::kNoOverspend;
  std::string rank_;
  std::string workspace_;
  int64_t total_ = 0;
  int64_t bad_ = 0;
  int64_t shortTotal_ = 0;
  int64_t shortBad_ = 0;
  int64_t longTotal_ = 0;
  int64_t longBad_ = 0;

  bool operator==(const BurnRow&) const = default;
};

/// Event counts of one router.
struct BurnRows
{
  std::vector<BurnRow> rows_;

  bool operator==(const BurnRows&) const = default;
};

/// Lengths of the windows over which burn rates are computed.
inline constexpr int64_t kShortWindowMs = 5LL * 60 * 1'000;
inline constexpr int64_t kLongWindowMs = 60LL * 60 * 1'000;

/// Counts events that meet or miss an objective, in time buckets.
class BurnTable
{
public:
  void Add(Objective aObjective,
           const std::string& aRank,
           const std::string& aWorkspace,
           bool aMet,
           int64_t aNowMs);

  BurnRows Rows(int64_t aNowMs) const;

private:
  struct Key
  {
    Objective objective_;
    std::string rank_;
    std::string workspace_;

    auto operator<=>(const Key&) const = default;
  };

  struct Bucket
  {
    int64_t startMs_ = 0;
    int64_t total_ = 0;
    int64_t bad_ = 0;
  };

  struct Totals
  {
    int64_t total_ = 0;
    int64_t bad_ = 0;
    std::deque<Bucket> buckets_;
  };

  std::map<Key, Totals> totals_;
};

constexpr auto
FieldsOf(const BurnRow*)
{
  return model::MakeFields(model::Field{ "objective", &BurnRow::objective_ },
                           model::Field{ "rank", &BurnRow::rank_ },
                           model::Field{ "workspace", &BurnRow::workspace_ },
                           model::Field{ "total", &BurnRow::total_ },
                           model::Field{ "bad", &BurnRow::bad_ },
                           model::Field{ "short_total", &BurnRow::shortTotal_ },
                           model::Field{ "short_bad", &BurnRow::shortBad_ },
                           model::Field{ "long_total", &BurnRow::longTotal_ },
                           model::Field{ "long_bad", &BurnRow::longBad_ });
}
constexpr auto
FieldsOf(const BurnRows*)
{
  return model::MakeFields(model::Field{ "rows", &BurnRows::rows_ });
}

} // namespace cactuswick::telemetry

#include "version/ResourceLimits.h"

#include "cactuswick/model/process/Text.h"

namespace cactuswick::check {

namespace {

using model::Concat;

constexpr int64_t kWholePercent = 100;

Finding
Warning(FindingKind aKind, std::string aPointer, std::string aMessage)
{
  return {
    Severity::kWarning, aKind, std::move(aPointer), std::move(aMessage)
  };
}

void
CheckRank(const model::Rank& aRank,
          const std::string& aPointer,
          Findings& aFindings)
{
  if (aRank.firstTokenTargetMs_ >= aRank.deadlineMs_) {
    aFindings.push_back(
      Warning(FindingKind::kContradiction,
              aPointer + "/first_token_target_ms",
              Concat("rank ",
                     aRank.name_,
                     ": the target for the first token is not below the "
                     "deadline")));
  }
  if (aRank.maxWaitMs_ > aRank.deadlineMs_) {
    aFindings.push_back(Warning(
      FindingKind::kContradiction,
      aPointer + "/max_wait_ms",
      Concat(
        "rank ", aRank.name_, ": the longest wait is above the deadline")));
  }
}

void
CheckFloors(const PlacedSpecs& aSpecs, Findings& aFindings)
{
  int64_t sum = 0;
  std::string pointer;
  bool isChecked = false;
  for (const auto& [key, one] : aSpecs) {
    if (const auto* rank = std::get_if<model::Rank>(&one.spec_)) {
      sum += rank->floorPercent_;
      if (one.isChecked_ && rank->floorPercent_ > 0) {
        pointer = one.pointer_;
        isChecked = true;
      }
    }
  }
  if (isChecked && sum > kWholePercent) {
    aFindings.push_back(
      Warning(FindingKind::kContradiction,
              pointer + "/floor_percent",
              Concat("the ranks' floors add up to ", sum, " percent")));
  }
}

void
CheckOrder(const model::Order& aOrder,
           const Placed& aPlaced,
           const PlacedSpecs& aSpecs,
           Findings& aFindings)
{
  const bool isModel = aOrder.action_ != model::OrderAction::kRole;
  if (isModel && !aSpecs.contains(Concat("model/", aOrder.target_))) {
    aFindings.push_back(Warning(FindingKind::kUnknownReference,
                                aPlaced.pointer_ + "/target",
                                Concat("order to ",
                                       aOrder.name_,
                                       ": model ",
                                       aOrder.target_,
                                       " is not declared")));
  }
}

/// Warns of keys that two resources have; routers take one of them only.
void
CheckKeys(const PlacedSpecs& aSpecs, Findings& aFindings)
{
  std::map<std::string, const Placed*> owners;
  for (const auto& [key, one] : aSpecs) {
    const auto* own = std::get_if<model::ApiKey>(&one.spec_);
    if (own == nullptr) {
      continue;
    }
    const auto [found, inserted] = owners.emplace(own->sha256_, &one);
    if (inserted || (!one.isChecked_ && !found->second->isChecked_)) {
      continue;
    }
    const Placed& place = one.isChecked_ ? one : *found->second;
    const Placed& other = one.isChecked_ ? *found->second : one;
    aFindings.push_back(Warning(FindingKind::kDuplicate,
                                place.pointer_ + "/sha256",
                                Concat(model::KeyOf(other.spec_),
                                       " is the same key; only one of them "
                                       "counts")));
  }
}

} // namespace

Findings
CheckResourceLimits(const PlacedSpecs& aSpecs)
{
  Findings findings;
  for (const auto& [key, one] : aSpecs) {
    if (!one.isChecked_) {
      continue;
    }
    if (const auto* rank = std::get_if<model::Rank>(&one.spec_)) {
      CheckRank(*rank, one.pointer_, findings);
    }
    if (const auto* order = std::get_if<model::Order>(&one.spec_)) {
      CheckOrder(*order, one, aSpecs, findings);
    }
  }
  CheckFloors(aSpecs, findings);
  CheckKeys(aSpecs, findings);
  return findings;
}

} // namespace cactuswick::check

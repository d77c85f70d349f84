// Ledger: quarantined prompt parts.

#include "cactuswick/ledger/version/Ledger.h"

#include <algorithm>

namespace cactuswick::ledger {

void
Ledger::MarkQuarantineChanged()
{
  counters_.quarantineRevision_ = ++counters_.revision_;
}

Reply
Ledger::On(const QuarantinePart& aCommand)
{
  if (aCommand.part_.empty()) {
    return Rejected{ model::ErrorKind::kMalformed, "part", "must be given" };
  }
  if (quarantine_.contains(aCommand.part_)) {
    return Accepted{ .revision_ = counters_.revision_ };
  }
  if (quarantine_.size() >= kMaxQuarantinedParts) {
    quarantine_.erase(std::min_element(
      quarantine_.begin(), quarantine_.end(), [](const auto& a, const auto& b) {
        return a.second.sinceMs_ < b.second.sinceMs_;
      }));
  }
  const LogTimeMs interval =
    aCommand.probeIntervalMs_ > 0
      ? std::min(aCommand.probeIntervalMs_, kMaxProbeIntervalMs)
      : kMaxProbeIntervalMs;
  quarantine_[aCommand.part_] = { .part_ = aCommand.part_,
                                  .crashes_ = aCommand.crashes_,
                                  .sinceMs_ = counters_.timeMs_,
                                  .nextProbeMs_ = counters_.timeMs_ + interval,
                                  .probeIntervalMs_ = interval };
  MarkQuarantineChanged();
  return Accepted{ .revision_ = counters_.revision_ };
}

Reply
Ledger::On(const LiftQuarantine& aCommand)
{
  if (quarantine_.erase(aCommand.part_) == 0) {
    return Rejected{ model::ErrorKind::kUnknownResource,
                     "part",
                     "this part is not quarantined" };
  }
  MarkQuarantineChanged();
  return Accepted{ .revision_ = counters_.revision_ };
}

OpResult
Ledger::OnOp(Incarnation, const ProbePart& aOp)
{
  const auto found = quarantine_.find(aOp.part_);
  if (found == quarantine_.end()) {
    return ProbeResult{ .granted_ = true };
  }
  QuarantineRecord& record = found->second;
  if (counters_.timeMs_ < record.nextProbeMs_) {
    return ProbeResult{ .granted_ = false };
  }
  ++record.probes_;
  record.probeIntervalMs_ = std::min(
    kMaxProbeIntervalMs, record.probeIntervalMs_ * kProbeBackoffFactor);
  record.nextProbeMs_ = counters_.timeMs_ + record.probeIntervalMs_;
  MarkQuarantineChanged();
  return ProbeResult{ .granted_ = true };
}

OpResult
Ledger::OnOp(Incarnation, const ClearPart& aOp)
{
  const auto found = quarantine_.find(aOp.part_);
  if (found != quarantine_.end() && found->second.sinceMs_ == aOp.sinceMs_) {
    quarantine_.erase(found);
    MarkQuarantineChanged();
  }
  return EmptyResult{};
}

void
Ledger::ExpireQuarantine()
{
  const auto expired = std::erase_if(quarantine_, [this](const auto& aPair) {
    return counters_.timeMs_ > aPair.second.nextProbeMs_ + kQuarantineIdleMs;
  });
  if (expired > 0) {
    MarkQuarantineChanged();
  }
}

} // namespace cactuswick::ledger

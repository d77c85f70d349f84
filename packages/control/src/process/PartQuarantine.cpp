#include "process/PartQuarantine.h"

#include <algorithm>
#include <utility>

#include "cactuswick/telemetry/process/Log.h"

namespace cactuswick::control {

namespace {

using model::Concat;
using telemetry::Counter;
using telemetry::Level;
using telemetry::Log;
using telemetry::Part;

constexpr int64_t kDecisionIntervalMs = 100;
/// Routers have this long to report a response before a part is quarantined.
constexpr int64_t kWatchBeforeProofMs = 200;
/// The list of watched parts is sent again at this interval, for routers that
/// have connected meanwhile.
constexpr int64_t kWatchRepeatMs = 1'000;
constexpr size_t kMaxWatched = 32;
/// A report that is older comes from a router that has reconnected.
constexpr int64_t kRepeatedReportMs = 500;
/// A proposal that is not committed after this time is made again.
constexpr int64_t kProposalTimeoutMs = 2'000;

std::string
Describe(const routing::PartEvidence& aEvidence, int64_t aNowMs)
{
  return Concat(" part=",
                aEvidence.part_,
                " score=",
                aEvidence.score_,
                " crashes=",
                aEvidence.crashes_,
                " requests=",
                aEvidence.requests_,
                " first_ms_ago=",
                aNowMs - aEvidence.sinceMs_);
}

} // namespace

PartQuarantine::PartQuarantine(PartQuarantineOptions aOptions)
  : options_(std::move(aOptions))
  , evidence_(
      { .crashes_ = options_.crashes_, .windowMs_ = options_.windowMs_ })
{
}

void
PartQuarantine::On(const transport::CrashEvidence& aEvidence, int64_t aNowMs)
{
  for (const auto& report : aEvidence.reports_) {
    evidence_.AddReport(report, aNowMs);
    if (report.ageMs_ >= kRepeatedReportMs) {
      lastReconnectMs_ = aNowMs;
    }
    options_.metrics_.Count(Counter::kEndpointBreaks);
  }
  for (const auto& endpoint : aEvidence.alive_) {
    evidence_.RemoveCrash(endpoint);
  }
  for (const auto& answered : aEvidence.answered_) {
    evidence_.AddAnswer(answered.part_, aNowMs - answered.ageMs_);
  }
  changed_ = true;
}

void
PartQuarantine::OnTick(bool aIsLeader, int64_t aNowMs)
{
  if (!aIsLeader || options_.crashes_ == 0) {
    return;
  }
  const bool due = aNowMs - lastDecisionMs_ >= kDecisionIntervalMs;
  if (due && (changed_ || !watchedSinceMs_.empty())) {
    lastDecisionMs_ = aNowMs;
    changed_ = false;
    Decide(aNowMs);
  }
}

void
PartQuarantine::Decide(int64_t aNowMs)
{
  evidence_.Expire(aNowMs);
  std::erase_if(proposedMs_, [&](const auto& aPair) {
    return aNowMs - aPair.second > kProposalTimeoutMs;
  });
  const auto isKnown = [this](const std::string& aPart) {
    return IsKnown(aPart);
  };
  auto proof = evidence_.FindProof(isKnown);
  while (proof && WasWatched(proof->part_, aNowMs)) {
    Propose(*proof, aNowMs);
    proof = evidence_.FindProof(isKnown);
  }
  UpdateWatch(evidence_.Assess(isKnown), aNowMs);
}

bool
PartQuarantine::IsKnown(const std::string& aPart) const
{
  return proposedMs_.contains(aPart) ||
         options_.ledger_.Quarantine().contains(aPart);
}

bool
PartQuarantine::WasWatched(const std::string& aPart, int64_t aNowMs) const
{
  const auto found = watchedSinceMs_.find(aPart);
  return found != watchedSinceMs_.end() &&
         aNowMs - std::max(found->second, lastReconnectMs_) >=
           kWatchBeforeProofMs;
}

void
PartQuarantine::Propose(const routing::PartEvidence& aEvidence, int64_t aNowMs)
{
  Log(Part::kEndpoint,
      Level::kWarning,
      Concat("quarantines", Describe(aEvidence, aNowMs)));
  options_.metrics_.Count(Counter::kPartsQuarantined);
  proposedMs_[aEvidence.part_] = aNowMs;
  options_.propose_(
    ledger::QuarantinePart{ .part_ = aEvidence.part_,
                            .crashes_ = aEvidence.crashes_,
                            .probeIntervalMs_ = options_.probeIntervalMs_ });
}

void
PartQuarantine::UpdateWatch(const std::vector<routing::PartEvidence>& aEvidence,
                            int64_t aNowMs)
{
  std::map<std::string, int64_t> watched;
  bool added = false;
  for (const auto& evidence : aEvidence) {
    if (evidence.score_ < routing::SuspectParts::kSuspectScore ||
        watched.size() >= kMaxWatched) {
      break;
    }
    const auto earlier = watchedSinceMs_.find(evidence.part_);
    const bool isNew = earlier == watchedSinceMs_.end();
    watched[evidence.part_] = isNew ? aNowMs : earlier->second;
    if (isNew) {
      added = true;
      Log(Part::kEndpoint,
          Level::kInfo,
          Concat("suspects", Describe(evidence, aNowMs)));
    }
  }
  const bool changed = added || watched.size() != watchedSinceMs_.size();
  const bool repeat =
    !watched.empty() && (aNowMs - lastWatchMs_ >= kWatchRepeatMs ||
                         lastReconnectMs_ > lastWatchMs_);
  watchedSinceMs_ = std::move(watched);
  if (!changed && !repeat) {
    return;
  }
  lastWatchMs_ = aNowMs;
  transport::WatchParts message;
  for (const auto& [part, since] : watchedSinceMs_) {
    message.parts_.push_back(part);
  }
  options_.sendToRouters_(message);
}

} // namespace cactuswick::control

#include "process/VersionAdmission.h"

#include <algorithm>
#include <utility>

#include "cactuswick/telemetry/process/Log.h"

namespace cactuswick::control {

namespace {

using model::Concat;
using telemetry::Level;
using telemetry::Log;
using telemetry::Part;

/// All versions are looked through at this interval, also without a change.
constexpr int64_t kUpdateIntervalMs = 5'000;
/// The same while admissions are under way.
constexpr int64_t kProposedIntervalMs = 100;
/// A proposal that is not committed after this time is made again.
constexpr int64_t kProposalTimeoutMs = 2'000;

std::string
Describe(const model::StreamOrigin& aOrigin)
{
  return Concat(
    " service=", aOrigin.service_, " version=", aOrigin.softwareVersion_);
}

} // namespace

VersionAdmission::VersionAdmission(VersionAdmissionOptions aOptions)
  : options_(std::move(aOptions))
{
}

void
VersionAdmission::OnTick(bool aIsLeader, int64_t aNowMs)
{
  const bool becomesLeader = aIsLeader && !wasLeader_;
  wasLeader_ = aIsLeader;
  if (!aIsLeader) {
    seenMs_.clear();
    proposedMs_.clear();
    return;
  }
  const int64_t intervalMs =
    proposedMs_.empty() ? kUpdateIntervalMs : kProposedIntervalMs;
  const bool changed = std::exchange(changed_, false);
  if (becomesLeader || changed || aNowMs - lastUpdateMs_ >= intervalMs) {
    Update(aNowMs);
  }
}

void
VersionAdmission::Update(int64_t aNowMs)
{
  lastUpdateMs_ = aNowMs;
  std::erase_if(proposedMs_,
                [&](const auto& aPair) { return IsAdmitted(aPair.first); });
  for (const auto& origin : options_.announced_()) {
    seenMs_[origin] = aNowMs;
    if (!IsAdmitted(origin)) {
      Admit(origin, aNowMs);
    }
  }
  WithdrawUnseen(aNowMs);
}

bool
VersionAdmission::IsAdmitted(const model::StreamOrigin& aOrigin) const
{
  const auto& admitted = options_.ledger_.Versions();
  const auto found = admitted.find(aOrigin.service_);
  return found != admitted.end() &&
         std::find(found->second.begin(),
                   found->second.end(),
                   aOrigin.softwareVersion_) != found->second.end();
}

void
VersionAdmission::Admit(const model::StreamOrigin& aOrigin, int64_t aNowMs)
{
  const auto proposed = proposedMs_.find(aOrigin);
  if (proposed != proposedMs_.end() &&
      aNowMs - proposed->second < kProposalTimeoutMs) {
    return;
  }
  proposedMs_[aOrigin] = aNowMs;
  Log(Part::kControl,
      Level::kInfo,
      Concat("admits a software version", Describe(aOrigin)));
  options_.propose_(
    ledger::AdmitVersion{ aOrigin.service_, aOrigin.softwareVersion_ });
}

void
VersionAdmission::WithdrawUnseen(int64_t aNowMs)
{
  for (const auto& [service, versions] : options_.ledger_.Versions()) {
    for (const auto& version : versions) {
      const model::StreamOrigin origin{ service, version };
      const auto seen = seenMs_.try_emplace(origin, aNowMs).first;
      if (aNowMs - seen->second >= kVersionKeptMs) {
        Log(Part::kControl,
            Level::kInfo,
            Concat("withdraws a software version", Describe(origin)));
        options_.propose_(ledger::WithdrawVersion{ service, version });
        seen->second = aNowMs;
      }
    }
  }
}

} // namespace cactuswick::control

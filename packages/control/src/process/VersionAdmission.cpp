#include "process/VersionAdmission.h"

#include <algorithm>
#include <utility>
#include <vector>

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
  const auto announced = options_.announced_();
  std::erase_if(proposedMs_, [&](const auto& aPair) {
    return IsAdmitted(aPair.first) || !announced.contains(aPair.first);
  });
  std::erase_if(seenMs_,
                [&](const auto& aPair) { return !IsAdmitted(aPair.first); });
  for (const auto& origin : announced) {
    if (IsAdmitted(origin)) {
      seenMs_[origin] = aNowMs;
    } else {
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
  MakeRoom(aOrigin.service_, aNowMs);
  Log(Part::kControl,
      Level::kInfo,
      Concat("admits a software version", Describe(aOrigin)));
  options_.propose_(
    ledger::AdmitVersion{ aOrigin.service_, aOrigin.softwareVersion_ });
}

void
VersionAdmission::WithdrawUnseen(int64_t aNowMs)
{
  std::vector<model::StreamOrigin> unseen;
  for (const auto& [service, versions] : options_.ledger_.Versions()) {
    for (const auto& version : versions) {
      const model::StreamOrigin origin{ service, version };
      const auto seen = seenMs_.try_emplace(origin, aNowMs).first;
      if (aNowMs - seen->second >= kVersionKeptMs) {
        unseen.push_back(origin);
        seen->second = aNowMs;
      }
    }
  }
  for (const auto& origin : unseen) {
    Withdraw(origin);
  }
}

void
VersionAdmission::MakeRoom(const std::string& aService, int64_t aNowMs)
{
  const auto& admitted = options_.ledger_.Versions();
  const auto found = admitted.find(aService);
  if (found == admitted.end() ||
      found->second.size() < ledger::kMaxAdmittedVersions) {
    return;
  }
  model::StreamOrigin longest;
  int64_t longestSeenMs = aNowMs;
  for (const auto& version : found->second) {
    const model::StreamOrigin origin{ aService, version };
    const auto seen = seenMs_.find(origin);
    if (seen != seenMs_.end() && seen->second < longestSeenMs) {
      longest = origin;
      longestSeenMs = seen->second;
    }
  }
  if (longestSeenMs < aNowMs) {
    Withdraw(longest);
  }
}

void
VersionAdmission::Withdraw(const model::StreamOrigin& aOrigin)
{
  Log(Part::kControl,
      Level::kInfo,
      Concat("withdraws a software version", Describe(aOrigin)));
  options_.propose_(
    ledger::WithdrawVersion{ aOrigin.service_, aOrigin.softwareVersion_ });
}

} // namespace cactuswick::control

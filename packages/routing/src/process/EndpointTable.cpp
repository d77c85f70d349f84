#include "cactuswick/routing/process/EndpointTable.h"

#include <algorithm>
#include <functional>
#include <iterator>

#include "cactuswick/model/process/Hash.h"
#include "process/EndpointSelection.h"

namespace cactuswick::routing {

namespace {

/// Multiplicative decrease of the window on a slow first token.
constexpr double kWindowDecrease = 0.7;
/// Upper bound of the window, as a multiple of the announced slots.
constexpr double kMaxWindowPerSlot = 1.25;
/// Bounds the exponent of the ejection time.
constexpr int64_t kMaxFailures = 16;
/// Lease of an endpoint that was taken out of use. It stays in the table as a
/// tombstone, so that delayed announcements of that incarnation don't restore
/// it.
constexpr int64_t kTombstoneLeaseMs = 5'000;
/// Expected time to the first token without the prefill.
constexpr double kBaseFirstTokenMs = 250;
/// Time after its announced end for which an endpoint is still taken for cold.
constexpr int64_t kColdMarginMs = 300;

/// Returns the endpoints that meet a condition, or all if none does: then none
/// is better than the others.
std::vector<EndpointState*>
Preferred(std::vector<EndpointState*> aEndpoints,
          const std::function<bool(const EndpointState&)>& aCondition)
{
  std::vector<EndpointState*> preferred;
  std::copy_if(aEndpoints.begin(),
               aEndpoints.end(),
               std::back_inserter(preferred),
               [&](const EndpointState* aOne) { return aCondition(*aOne); });
  return preferred.empty() ? std::move(aEndpoints) : std::move(preferred);
}

} // namespace

EndpointTable::EndpointTable(EndpointTableOptions aOptions)
  : options_(std::move(aOptions))
  , warmUp_(options_.vm_)
{
}

bool
EndpointTable::ApplyAnnouncement(const model::Announcement& aAnnouncement,
                                 int64_t aAgeMs,
                                 int64_t aNowMs)
{
  if (IsRetired(aAnnouncement)) {
    return false;
  }
  const auto found = endpoints_.find(aAnnouncement.endpoint_);
  if (found == endpoints_.end()) {
    SupersedeAtAddress(aAnnouncement);
    RecordVersion(aAnnouncement);
    endpoints_[aAnnouncement.endpoint_] =
      EndpointState{ .announcement_ = aAnnouncement,
                     .announcedMs_ = aNowMs - aAgeMs,
                     .window_ = static_cast<double>(aAnnouncement.slots_),
                     .isAdmitted_ = IsAdmitted(aAnnouncement) };
    UpdateCold(aAnnouncement, aAgeMs, aNowMs);
    return true;
  }
  EndpointState& endpoint = found->second;
  if (model::VersionOf(aAnnouncement) <=
      model::VersionOf(endpoint.announcement_)) {
    return false;
  }
  SupersedeAtAddress(aAnnouncement);
  const int64_t elapsedMs = aNowMs - aAgeMs - endpoint.announcedMs_;
  const model::Announcement next =
    model::KeepSoftwareVersion(aAnnouncement, endpoint.announcement_);
  const bool renewal =
    model::IsRenewal(next, endpoint.announcement_, elapsedMs);
  if (!renewal) {
    RecordVersion(next);
    endpoint.isAdmitted_ = IsAdmitted(next);
  }
  if (aAnnouncement.incarnation_ != endpoint.announcement_.incarnation_) {
    endpoint.failures_ = 0;
    endpoint.ejectedUntilMs_ = 0;
    endpoint.prefixPlacedMs_.clear();
    endpoint.window_ = static_cast<double>(aAnnouncement.slots_);
  }
  endpoint.announcement_ =
    renewal ? model::KeepColdEnd(next, endpoint.announcement_, elapsedMs)
            : next;
  endpoint.announcedMs_ = std::max(endpoint.announcedMs_, aNowMs - aAgeMs);
  UpdateCold(aAnnouncement, aAgeMs, aNowMs);
  return !renewal;
}

void
EndpointTable::UpdateCold(const model::Announcement& aAnnouncement,
                          int64_t aAgeMs,
                          int64_t aNowMs)
{
  const int64_t leftMs = aAnnouncement.coldLeftMs_;
  if (leftMs > 0) {
    warmUp_.SetCold(aAnnouncement.endpoint_,
                    aNowMs - aAgeMs + leftMs + kColdMarginMs,
                    aNowMs);
  } else {
    warmUp_.SetWarm(aAnnouncement.endpoint_);
  }
}

bool
EndpointTable::IsRetired(const model::Announcement& aAnnouncement) const
{
  const auto retired = retired_.find(aAnnouncement.endpoint_);
  return retired != retired_.end() &&
         aAnnouncement.incarnation_ <= retired->second;
}

void
EndpointTable::SupersedeAtAddress(const model::Announcement& aAnnouncement)
{
  // An address belongs to the endpoint that started there last.
  for (auto& [name, endpoint] : endpoints_) {
    auto& other = endpoint.announcement_;
    if (name != aAnnouncement.endpoint_ &&
        other.address_ == aAnnouncement.address_ &&
        other.incarnation_ < aAnnouncement.incarnation_) {
      other.leaving_ = true;
      other.leaseMs_ = std::min(other.leaseMs_, kTombstoneLeaseMs);
    }
  }
}

void
EndpointTable::MarkLost(const std::string& aEndpoint,
                        int64_t aIncarnation,
                        int64_t aNowMs)
{
  const auto found = endpoints_.find(aEndpoint);
  if (found == endpoints_.end() ||
      found->second.announcement_.incarnation_ != aIncarnation) {
    return;
  }
  found->second.announcement_.leaving_ = true;
  found->second.announcement_.leaseMs_ = kTombstoneLeaseMs;
  found->second.announcedMs_ = aNowMs;
}

void
EndpointTable::Retire(const std::string& aEndpoint,
                      int64_t aIncarnation,
                      int64_t aNowMs)
{
  int64_t& newest = retired_[aEndpoint];
  newest = std::max(newest, aIncarnation);
  const auto found = endpoints_.find(aEndpoint);
  if (found != endpoints_.end() && IsRetired(found->second.announcement_)) {
    MarkLost(aEndpoint, found->second.announcement_.incarnation_, aNowMs);
  }
}

std::vector<std::string>
EndpointTable::Expire(int64_t aNowMs)
{
  OpenVersions(aNowMs);
  std::vector<std::string> expired;
  for (auto& [name, endpoint] : endpoints_) {
    std::erase_if(endpoint.prefixPlacedMs_, [aNowMs](const auto& aPair) {
      return aNowMs - aPair.second > kPrefixCacheMs;
    });
    const int64_t lease = endpoint.announcement_.leaseMs_;
    // A leaving endpoint is kept longer as a tombstone, so that delayed
    // announcements of the same incarnation don't restore it.
    const int64_t keepMs = endpoint.announcement_.leaving_ ? 20 * lease : lease;
    if (aNowMs - endpoint.announcedMs_ > keepMs && endpoint.inFlight_ == 0) {
      expired.push_back(name);
    }
  }
  for (const auto& name : expired) {
    endpoints_.erase(name);
    warmUp_.SetWarm(name);
  }
  return expired;
}

SignalEffect
EndpointTable::OnSignals(const std::string& aEndpoint,
                         int64_t aIncarnation,
                         const ResponseSignals& aSignals,
                         int64_t aNowMs)
{
  const auto found = endpoints_.find(aEndpoint);
  if (found == endpoints_.end() ||
      found->second.announcement_.incarnation_ != aIncarnation) {
    return SignalEffect::kNone;
  }
  const SignalEffect effect =
    found->second.signals_.Apply(aIncarnation, aSignals, aNowMs);
  if (effect == SignalEffect::kLeaves) {
    Retire(aEndpoint, aIncarnation, aNowMs);
  }
  return effect;
}

void
EndpointTable::TakeSlot(EndpointState& aEndpoint,
                        const std::string& aServes,
                        int64_t aNowMs)
{
  ++aEndpoint.inFlight_;
  warmUp_.Take(aEndpoint.announcement_.endpoint_, aServes, aNowMs);
}

std::vector<EndpointState*>
EndpointTable::Candidates(const std::string& aServes,
                          const std::vector<std::string>& aExcluded,
                          int64_t aNowMs,
                          const std::optional<std::string>& aVersion)
{
  std::vector<EndpointState*> usable;
  for (auto& [name, endpoint] : endpoints_) {
    const bool excluded =
      std::find(aExcluded.begin(), aExcluded.end(), name) != aExcluded.end();
    if (!excluded && IsOfVersion(endpoint, aVersion) &&
        IsUsable(endpoint, aServes, aNowMs) &&
        MayTakeRequest(endpoint, aServes, aNowMs)) {
      usable.push_back(&endpoint);
    }
  }
  const auto preferred =
    Preferred(std::move(usable), [&](const EndpointState& aEndpoint) {
      return aNowMs >= aEndpoint.ejectedUntilMs_;
    });
  return Preferred(preferred, [&](const EndpointState& aEndpoint) {
    return warmUp_.IsWithinShare(aEndpoint.announcement_.endpoint_,
                                 aServes,
                                 aEndpoint.announcedMs_,
                                 aNowMs);
  });
}

std::optional<PromptPlacement>
EndpointTable::AcquireForPrompt(const std::string& aServes,
                                const PromptLoad& aPrompt,
                                const std::vector<std::string>& aExcluded,
                                int64_t aNowMs,
                                const std::optional<std::string>& aVersion)
{
  const auto candidates = Candidates(aServes, aExcluded, aNowMs, aVersion);
  if (candidates.empty()) {
    return std::nullopt;
  }
  const auto engines =
    LoadsForPrompt(candidates, aPrompt, othersPrefill_, aNowMs);
  const EngineChoice choice = othersPrefill_.IsFresh(aNowMs)
                                ? ChooseByFleetLoad(aPrompt, engines)
                                : *ChooseEngine(aPrompt, engines);
  EndpointState* best = candidates[choice.engine_];
  TakeSlot(*best, aServes, aNowMs);
  best->pendingPrefillTokens_ += choice.prefillTokens_;
  if (aPrompt.prefixHash_ != 0) {
    best->prefixPlacedMs_[aPrompt.prefixHash_] = aNowMs;
  }
  return PromptPlacement{ .endpoint_ = best->announcement_.endpoint_,
                          .prefillTokens_ = choice.prefillTokens_ };
}

EngineChoice
EndpointTable::ChooseByFleetLoad(PromptLoad aPrompt,
                                 const std::vector<EngineLoad>& aEngines)
{
  if (aPrompt.prefixHash_ == 0) {
    // Without a prefix each prompt has an order of its own.
    aPrompt.prefixHash_ = model::Hash64(options_.vm_, nextOffset_++);
  }
  return *ChooseEngineByFleetLoad(aPrompt, aEngines);
}

PrefillByEndpoint
EndpointTable::OwnPrefill() const
{
  PrefillByEndpoint pending;
  for (const auto& [name, endpoint] : endpoints_) {
    if (endpoint.pendingPrefillTokens_ > 0) {
      pending[name] = endpoint.pendingPrefillTokens_;
    }
  }
  return pending;
}

void
EndpointTable::OnPrefill(const std::string& aEndpoint,
                         ledger::Tokens aTokens,
                         int64_t aElapsedMs,
                         int64_t aNowMs)
{
  const auto found = endpoints_.find(aEndpoint);
  if (found == endpoints_.end()) {
    return;
  }
  EndpointState& endpoint = found->second;
  endpoint.pendingPrefillTokens_ =
    std::max(ledger::Tokens{ 0 }, endpoint.pendingPrefillTokens_ - aTokens);
  const double expected =
    kBaseFirstTokenMs + static_cast<double>(aTokens) / kPrefillTokensPerMs;
  const double excess =
    std::max(0.0, static_cast<double>(aElapsedMs) - expected);
  endpoint.excessDelayMs_ = (ExcessDelayOf(endpoint, aNowMs) + excess) / 2;
  endpoint.excessDelayAtMs_ = aNowMs;
}

std::optional<std::string>
EndpointTable::Acquire(const std::string& aServes,
                       uint64_t aPrefixHash,
                       const std::vector<std::string>& aExcluded,
                       int64_t aNowMs,
                       const std::optional<std::string>& aVersion)
{
  const auto candidates = Candidates(aServes, aExcluded, aNowMs, aVersion);
  if (candidates.empty()) {
    return std::nullopt;
  }
  // Ties are broken in rotation, so that lightly loaded routers don't all pick
  // the same endpoint.
  EndpointState& best =
    aPrefixHash == 0
      ? LeastLoaded(candidates, options_.failureDomain_, nextOffset_++)
      : PreferredByPrefix(candidates, aPrefixHash);
  TakeSlot(best, aServes, aNowMs);
  return best.announcement_.endpoint_;
}

void
EndpointTable::Release(const std::string& aEndpoint,
                       AttemptOutcome aOutcome,
                       int64_t aNowMs)
{
  const auto found = endpoints_.find(aEndpoint);
  if (found == endpoints_.end()) {
    return;
  }
  EndpointState& endpoint = found->second;
  endpoint.inFlight_ = std::max(int64_t{ 0 }, endpoint.inFlight_ - 1);
  if (aOutcome == AttemptOutcome::kServed) {
    endpoint.failures_ = 0;
    endpoint.ejectedUntilMs_ = 0;
  }
  if (aOutcome == AttemptOutcome::kFailed) {
    Eject(endpoint, aNowMs);
  }
}

void
EndpointTable::Eject(EndpointState& aEndpoint, int64_t aNowMs) const
{
  aEndpoint.failures_ = std::min(kMaxFailures, aEndpoint.failures_ + 1);
  const int64_t ejection = options_.minEjectionMs_ << (aEndpoint.failures_ - 1);
  aEndpoint.ejectedUntilMs_ =
    aNowMs + std::min(options_.maxEjectionMs_, ejection);
}

void
EndpointTable::OnUnhealthy(const std::string& aEndpoint, int64_t aNowMs)
{
  const auto found = endpoints_.find(aEndpoint);
  if (found != endpoints_.end()) {
    Eject(found->second, aNowMs);
  }
}

void
EndpointTable::OnFirstToken(const std::string& aEndpoint, int64_t aElapsedMs)
{
  const auto found = endpoints_.find(aEndpoint);
  if (found == endpoints_.end()) {
    return;
  }
  EndpointState& endpoint = found->second;
  const double maxWindow =
    kMaxWindowPerSlot * static_cast<double>(endpoint.announcement_.slots_);
  if (aElapsedMs > options_.firstTokenLimitMs_) {
    endpoint.window_ = std::max(1.0, endpoint.window_ * kWindowDecrease);
  } else {
    endpoint.window_ =
      std::min(maxWindow, endpoint.window_ + 1 / endpoint.window_);
  }
}

const model::Announcement*
EndpointTable::Find(const std::string& aEndpoint) const
{
  const auto found = endpoints_.find(aEndpoint);
  return found == endpoints_.end() ? nullptr : &found->second.announcement_;
}

std::vector<EndpointTable::AgedAnnouncement>
EndpointTable::All(int64_t aNowMs) const
{
  std::vector<AgedAnnouncement> all;
  for (const auto& [name, endpoint] : endpoints_) {
    all.push_back({ endpoint.announcement_, aNowMs - endpoint.announcedMs_ });
  }
  return all;
}

} // namespace cactuswick::routing

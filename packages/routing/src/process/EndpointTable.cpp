#include "cactuswick/routing/process/EndpointTable.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "cactuswick/model/process/Hash.h"

namespace cactuswick::routing {

namespace {

/// An endpoint may be this much fuller than the emptiest and still win by its
/// prefix cache.
constexpr double kAffinitySlack = 1.25;
constexpr double kAffinityExtra = 1.0;
/// Multiplicative decrease of the window on a slow first token.
constexpr double kDecrease = 0.7;
/// The window never passes this multiple of the announced slots.
constexpr double kMaxWindowPerSlot = 1.25;
constexpr int64_t kMaxFailures = 16;
/// An endpoint of another failure domain is taken once the near ones are
/// fuller by this part of their slots.
constexpr double kFarLoad = 0.25;
/// How long an endpoint that is out of use is remembered, so that late
/// messages of its life do not bring it back.
constexpr int64_t kGoneMs = 5'000;
/// How long an engine is expected to keep a prefix that was read there.
constexpr int64_t kPrefixKeptMs = 20'000;
/// What one more running request costs a prompt's reading.
constexpr ledger::Tokens kTokensPerRunning = 300;
/// Prompt tokens that an engine reads in a millisecond.
constexpr double kTokensPerMs = 50;
/// Time to a first token beyond reading the prompt that is usual.
constexpr double kUsualDelayMs = 250;
/// How fast an engine's delay is forgotten.
constexpr double kDelayFadesMs = 4'000;

} // namespace

EndpointTable::EndpointTable(EndpointTableOptions aOptions)
  : options_(std::move(aOptions))
{
}

bool
EndpointTable::Hear(const model::Announcement& aAnnouncement,
                    int64_t aAgeMs,
                    int64_t aNowMs)
{
  if (IsRetired(aAnnouncement)) {
    return false;
  }
  const auto found = endpoints_.find(aAnnouncement.endpoint_);
  if (found == endpoints_.end()) {
    DropOthersAt(aAnnouncement);
    endpoints_[aAnnouncement.endpoint_] =
      Endpoint{ .announcement_ = aAnnouncement,
                .heardMs_ = aNowMs - aAgeMs,
                .window_ = static_cast<double>(aAnnouncement.slots_) };
    return true;
  }
  Endpoint& endpoint = found->second;
  if (model::VersionOf(aAnnouncement) <=
      model::VersionOf(endpoint.announcement_)) {
    return false;
  }
  DropOthersAt(aAnnouncement);
  const bool renewal = model::IsRenewal(aAnnouncement, endpoint.announcement_);
  if (aAnnouncement.incarnation_ != endpoint.announcement_.incarnation_) {
    endpoint.failures_ = 0;
    endpoint.ejectedUntilMs_ = 0;
    endpoint.prefixes_.clear();
    endpoint.window_ = static_cast<double>(aAnnouncement.slots_);
  }
  endpoint.announcement_ = aAnnouncement;
  endpoint.heardMs_ = std::max(endpoint.heardMs_, aNowMs - aAgeMs);
  return !renewal;
}

bool
EndpointTable::IsRetired(const model::Announcement& aAnnouncement) const
{
  const auto retired = retired_.find(aAnnouncement.endpoint_);
  return retired != retired_.end() &&
         aAnnouncement.incarnation_ <= retired->second;
}

void
EndpointTable::DropOthersAt(const model::Announcement& aAnnouncement)
{
  // An address belongs to whoever started there last.
  for (auto& [name, endpoint] : endpoints_) {
    auto& other = endpoint.announcement_;
    if (name != aAnnouncement.endpoint_ &&
        other.address_ == aAnnouncement.address_ &&
        other.incarnation_ < aAnnouncement.incarnation_) {
      other.leaving_ = true;
      other.leaseMs_ = std::min(other.leaseMs_, kGoneMs);
    }
  }
}

void
EndpointTable::Lose(const std::string& aEndpoint,
                    int64_t aIncarnation,
                    int64_t aNowMs)
{
  const auto found = endpoints_.find(aEndpoint);
  if (found == endpoints_.end() ||
      found->second.announcement_.incarnation_ != aIncarnation) {
    return;
  }
  found->second.announcement_.leaving_ = true;
  found->second.announcement_.leaseMs_ = kGoneMs;
  found->second.heardMs_ = aNowMs;
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
    Lose(aEndpoint, found->second.announcement_.incarnation_, aNowMs);
  }
}

std::vector<std::string>
EndpointTable::Expire(int64_t aNowMs)
{
  std::vector<std::string> expired;
  for (auto& [name, endpoint] : endpoints_) {
    std::erase_if(endpoint.prefixes_, [aNowMs](const auto& aPair) {
      return aNowMs - aPair.second > kPrefixKeptMs;
    });
    const int64_t lease = endpoint.announcement_.leaseMs_;
    // A leaving one is remembered for a while, so that late messages of its
    // life do not bring it back.
    const int64_t keep = endpoint.announcement_.leaving_ ? 20 * lease : lease;
    if (aNowMs - endpoint.heardMs_ > keep && endpoint.inFlight_ == 0) {
      expired.push_back(name);
    }
  }
  for (const auto& name : expired) {
    endpoints_.erase(name);
  }
  return expired;
}

bool
EndpointTable::IsUsable(const Endpoint& aEndpoint,
                        const std::string& aServes,
                        int64_t aNowMs) const
{
  const auto& announcement = aEndpoint.announcement_;
  const auto& serves = announcement.serves_;
  return !announcement.leaving_ &&
         aNowMs - aEndpoint.heardMs_ <= announcement.leaseMs_ &&
         std::find(serves.begin(), serves.end(), aServes) != serves.end();
}

bool
EndpointTable::HasSlot(const Endpoint& aEndpoint)
{
  return static_cast<double>(aEndpoint.inFlight_ + 1) <= aEndpoint.window_;
}

bool
EndpointTable::HasRoom(const std::string& aServes, int64_t aNowMs) const
{
  return std::any_of(
    endpoints_.begin(), endpoints_.end(), [&](const auto& aPair) {
      return IsUsable(aPair.second, aServes, aNowMs) && HasSlot(aPair.second);
    });
}

double
EndpointTable::LoadOf(const Endpoint& aEndpoint)
{
  // Reports lag, so one's own requests count in full beside them.
  const auto& announcement = aEndpoint.announcement_;
  const int64_t load = std::max(aEndpoint.inFlight_, announcement.inFlight_);
  return static_cast<double>(load) / static_cast<double>(announcement.slots_);
}

std::vector<EndpointTable::Endpoint*>
EndpointTable::Candidates(const std::string& aServes,
                          const std::vector<std::string>& aExcluded,
                          int64_t aNowMs)
{
  std::vector<Endpoint*> usable;
  std::vector<Endpoint*> healthy;
  for (auto& [name, endpoint] : endpoints_) {
    const bool excluded =
      std::find(aExcluded.begin(), aExcluded.end(), name) != aExcluded.end();
    if (excluded || !IsUsable(endpoint, aServes, aNowMs) ||
        !HasSlot(endpoint)) {
      continue;
    }
    usable.push_back(&endpoint);
    if (aNowMs >= endpoint.ejectedUntilMs_) {
      healthy.push_back(&endpoint);
    }
  }
  // When every endpoint is ejected, ejection says nothing: all are tried.
  return healthy.empty() ? usable : healthy;
}

std::optional<PromptPlace>
EndpointTable::AcquireForPrompt(const std::string& aServes,
                                const PromptLoad& aPrompt,
                                const std::vector<std::string>& aExcluded,
                                int64_t aNowMs)
{
  const auto candidates = Candidates(aServes, aExcluded, aNowMs);
  if (candidates.empty()) {
    return std::nullopt;
  }
  // Every router takes the same engine for a prefix's home without being
  // told.
  const auto rank = [&](const Endpoint* aOne) {
    return model::Hash64(aOne->announcement_.endpoint_, aPrompt.prefixHash_);
  };
  const auto home = std::max_element(
    candidates.begin(), candidates.end(), [&](const auto* a, const auto* b) {
      return rank(a) < rank(b);
    });
  Endpoint* best = nullptr;
  PromptPlace place;
  ledger::Tokens bestCost = 0;
  for (Endpoint* endpoint : candidates) {
    const auto sent = endpoint->prefixes_.find(aPrompt.prefixHash_);
    const bool recent = sent != endpoint->prefixes_.end() &&
                        aNowMs - sent->second <= kPrefixKeptMs;
    const bool hasPrefix = endpoint == *home || recent;
    const ledger::Tokens toRead =
      aPrompt.ownTokens_ + (hasPrefix ? 0 : aPrompt.sharedTokens_);
    const auto delay =
      static_cast<ledger::Tokens>(DelayOf(*endpoint, aNowMs) * kTokensPerMs);
    const ledger::Tokens cost = toRead + endpoint->pendingTokens_ + delay +
                                endpoint->inFlight_ * kTokensPerRunning;
    const bool tieGoesHere = cost == bestCost && rank(endpoint) > rank(best);
    if (best == nullptr || cost < bestCost || tieGoesHere) {
      best = endpoint;
      bestCost = cost;
      place = { endpoint->announcement_.endpoint_, toRead };
    }
  }
  ++best->inFlight_;
  best->pendingTokens_ += place.toRead_;
  if (aPrompt.prefixHash_ != 0) {
    best->prefixes_[aPrompt.prefixHash_] = aNowMs;
  }
  return place;
}

double
EndpointTable::DelayOf(const Endpoint& aEndpoint, int64_t aNowMs)
{
  const auto age = static_cast<double>(aNowMs - aEndpoint.delayAtMs_);
  return aEndpoint.delayMs_ * std::exp(-age / kDelayFadesMs);
}

void
EndpointTable::OnPromptRead(const std::string& aEndpoint,
                            ledger::Tokens aTokens,
                            int64_t aElapsedMs,
                            int64_t aNowMs)
{
  const auto found = endpoints_.find(aEndpoint);
  if (found == endpoints_.end()) {
    return;
  }
  Endpoint& endpoint = found->second;
  endpoint.pendingTokens_ =
    std::max(ledger::Tokens{ 0 }, endpoint.pendingTokens_ - aTokens);
  const double expected =
    kUsualDelayMs + static_cast<double>(aTokens) / kTokensPerMs;
  const double excess =
    std::max(0.0, static_cast<double>(aElapsedMs) - expected);
  endpoint.delayMs_ = (DelayOf(endpoint, aNowMs) + excess) / 2;
  endpoint.delayAtMs_ = aNowMs;
}

std::optional<std::string>
EndpointTable::Acquire(const std::string& aServes,
                       uint64_t aPrefixHash,
                       const std::vector<std::string>& aExcluded,
                       int64_t aNowMs)
{
  const auto candidates = Candidates(aServes, aExcluded, aNowMs);
  if (candidates.empty()) {
    return std::nullopt;
  }
  if (aPrefixHash == 0) {
    return AcquireNear(candidates);
  }
  const auto emptiest = std::min_element(
    candidates.begin(), candidates.end(), [](const auto* a, const auto* b) {
      return LoadOf(*a) < LoadOf(*b);
    });
  const double limit =
    LoadOf(**emptiest) * kAffinitySlack +
    kAffinityExtra / static_cast<double>((*emptiest)->announcement_.slots_);
  Endpoint* best = nullptr;
  double bestScore = 0;
  for (Endpoint* endpoint : candidates) {
    if (LoadOf(*endpoint) > limit) {
      continue;
    }
    // Rendezvous hashing keeps a prefix at its endpoint as others come and go.
    const uint64_t hash =
      model::Hash64(endpoint->announcement_.endpoint_, aPrefixHash);
    const double score = static_cast<double>(hash >> 11) * 0x1.0p-53;
    if (best == nullptr || score > bestScore) {
      best = endpoint;
      bestScore = score;
    }
  }
  ++best->inFlight_;
  return best->announcement_.endpoint_;
}

std::string
EndpointTable::AcquireNear(const std::vector<Endpoint*>& aCandidates)
{
  // Ties take turns, so that routers with little load do not all go to one.
  const size_t offset = turn_++ % aCandidates.size();
  Endpoint* best = aCandidates[offset];
  double bestLoad = std::numeric_limits<double>::max();
  for (size_t i = 0; i < aCandidates.size(); ++i) {
    Endpoint* one = aCandidates[(i + offset) % aCandidates.size()];
    const bool near =
      one->announcement_.failureDomain_ == options_.failureDomain_;
    const double load = LoadOf(*one) + (near ? 0 : kFarLoad);
    if (load < bestLoad) {
      best = one;
      bestLoad = load;
    }
  }
  ++best->inFlight_;
  return best->announcement_.endpoint_;
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
  Endpoint& endpoint = found->second;
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
EndpointTable::Eject(Endpoint& aEndpoint, int64_t aNowMs) const
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
  Endpoint& endpoint = found->second;
  const double most =
    kMaxWindowPerSlot * static_cast<double>(endpoint.announcement_.slots_);
  if (aElapsedMs > options_.firstTokenLimitMs_) {
    endpoint.window_ = std::max(1.0, endpoint.window_ * kDecrease);
  } else {
    endpoint.window_ = std::min(most, endpoint.window_ + 1 / endpoint.window_);
  }
}

bool
EndpointTable::Serves(const std::string& aServes, int64_t aNowMs) const
{
  return std::any_of(
    endpoints_.begin(), endpoints_.end(), [&](const auto& aPair) {
      return IsUsable(aPair.second, aServes, aNowMs);
    });
}

const model::Announcement*
EndpointTable::Find(const std::string& aEndpoint) const
{
  const auto found = endpoints_.find(aEndpoint);
  return found == endpoints_.end() ? nullptr : &found->second.announcement_;
}

std::vector<EndpointTable::Known>
EndpointTable::All(int64_t aNowMs) const
{
  std::vector<Known> all;
  for (const auto& [name, endpoint] : endpoints_) {
    all.push_back({ endpoint.announcement_, aNowMs - endpoint.heardMs_ });
  }
  return all;
}

} // namespace cactuswick::routing

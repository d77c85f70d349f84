#include "cactuswick/routing/process/WarmUp.h"

#include <algorithm>
#include <utility>

namespace cactuswick::routing {

namespace {

/// Requests per second of a cold endpoint for each router that may send to it.
/// In any second the endpoint gets at most its limit and one request of each of
/// these routers.
constexpr double kRequestsPerSecondPerRouter = 2;
constexpr double kMsPerSecond = 1'000;

/// Returns what each of the chosen routers may send per second to a cold
/// endpoint that bears @p aPerSecond.
double
PerRouter(double aPerSecond)
{
  return aPerSecond / static_cast<double>(WarmUpRouters(aPerSecond));
}

} // namespace

int64_t
WarmUpRouters(double aPerSecond)
{
  return std::max(
    int64_t{ 1 },
    static_cast<int64_t>(aPerSecond / kRequestsPerSecondPerRouter));
}

double
WarmUp::Allowance::At(int64_t aNowMs, double aPerSecond) const
{
  const auto elapsedMs = static_cast<double>(aNowMs - atMs_);
  return std::min(1.0, requests_ + elapsedMs * aPerSecond / kMsPerSecond);
}

void
WarmUp::Allowance::Take(int64_t aNowMs, double aPerSecond)
{
  requests_ = At(aNowMs, aPerSecond) - 1;
  atMs_ = aNowMs;
}

WarmUp::WarmUp(std::string aVm, RankHook aRank)
  : vm_(std::move(aVm))
  , rank_(std::move(aRank))
{
}

void
WarmUp::SetLimits(const std::vector<WarmUpLimit>& aLimits)
{
  limits_.clear();
  for (const auto& limit : aLimits) {
    if (limit.perSecond_ > 0) {
      limits_[limit.service_] = limit.perSecond_;
    }
  }
}

void
WarmUp::SetRouters(std::vector<std::string> aVms, int64_t aNowMs)
{
  std::sort(aVms.begin(), aVms.end());
  aVms.erase(std::unique(aVms.begin(), aVms.end()), aVms.end());
  if (!lists_.empty() && lists_.back().vms_ == aVms) {
    return;
  }
  lists_.push_back({ ++lastListId_, aNowMs, std::move(aVms) });
  while (lists_.size() > 1 && lists_[1].sinceMs_ <= aNowMs - kWarmUpHoldMs) {
    lists_.pop_front();
  }
}

void
WarmUp::OnContact(int64_t aReceivedMs)
{
  if (!hasContact_ || aReceivedMs - lastContactMs_ > kWarmUpContactMs) {
    contactSinceMs_ = aReceivedMs;
  }
  if (!hasContact_ || aReceivedMs > lastContactMs_) {
    lastContactMs_ = aReceivedMs;
    placedOutOfContact_.clear();
  }
  hasContact_ = true;
}

void
WarmUp::SetCold(const std::string& aEndpoint, int64_t aUntilMs, int64_t aNowMs)
{
  Cold& cold = cold_[aEndpoint];
  if (aNowMs >= cold.untilMs_) {
    cold.sinceMs_ = aNowMs;
  }
  cold.untilMs_ = aUntilMs;
}

void
WarmUp::SetWarm(const std::string& aEndpoint)
{
  cold_.erase(aEndpoint);
}

WarmUp::Cold*
WarmUp::FindCold(const std::string& aEndpoint, int64_t aNowMs) const
{
  const auto found = cold_.find(aEndpoint);
  return found != cold_.end() && aNowMs < found->second.untilMs_
           ? &found->second
           : nullptr;
}

bool
WarmUp::IsCold(const std::string& aEndpoint, int64_t aNowMs) const
{
  return FindCold(aEndpoint, aNowMs) != nullptr;
}

double
WarmUp::LimitOf(const std::string& aService) const
{
  const auto found = limits_.find(aService);
  return found == limits_.end() ? 0 : found->second;
}

double
WarmUp::ShareOf(double aPerSecond) const
{
  const size_t routers = lists_.empty() ? 1 : lists_.back().vms_.size();
  return aPerSecond / static_cast<double>(std::max(size_t{ 1 }, routers));
}

bool
WarmUp::IsInContact(int64_t aNowMs) const
{
  return hasContact_ && aNowMs - lastContactMs_ <= kWarmUpContactMs &&
         aNowMs - contactSinceMs_ >= kWarmUpHoldMs;
}

int64_t
WarmUp::RankIn(const RouterList& aList,
               const std::string& aEndpoint,
               Cold& aCold) const
{
  std::vector<Rank>& ranks = aCold.ranks_;
  const auto known =
    std::find_if(ranks.begin(), ranks.end(), [&](const Rank& aRank) {
      return aRank.list_ == aList.id_;
    });
  if (known != ranks.end()) {
    return known->rank_;
  }
  std::erase_if(
    ranks, [&](const Rank& aRank) { return aRank.list_ < lists_.front().id_; });
  ranks.push_back({ aList.id_, rank_(vm_, aList.vms_, aEndpoint) });
  return ranks.back().rank_;
}

bool
WarmUp::IsChosen(const std::string& aEndpoint,
                 Cold& aCold,
                 double aPerSecond,
                 int64_t aNowMs) const
{
  const int64_t fromMs = aNowMs - kWarmUpHoldMs;
  if (!IsInContact(aNowMs) || lists_.empty() ||
      lists_.front().sinceMs_ > fromMs) {
    return false;
  }
  const int64_t count = WarmUpRouters(aPerSecond);
  for (size_t i = 0; i < lists_.size(); ++i) {
    const bool isOver =
      i + 1 < lists_.size() && lists_[i + 1].sinceMs_ <= fromMs;
    if (!isOver && RankIn(lists_[i], aEndpoint, aCold) >= count) {
      return false;
    }
  }
  return true;
}

bool
WarmUp::Allows(const std::string& aEndpoint,
               const std::string& aService,
               int64_t aNowMs) const
{
  Cold* cold = FindCold(aEndpoint, aNowMs);
  if (cold == nullptr) {
    return true;
  }
  const double limit = LimitOf(aService);
  if (limit == 0) {
    return true;
  }
  const bool isConnecting =
    cold->unsentSinceMs_ && aNowMs - *cold->unsentSinceMs_ < kWarmUpConnectMs;
  return !isConnecting && cold->allowance_.At(aNowMs, PerRouter(limit)) >= 1 &&
         IsChosen(aEndpoint, *cold, limit, aNowMs);
}

bool
WarmUp::IsWithinShare(const std::string& aEndpoint,
                      const std::string& aService,
                      int64_t aAnnouncedMs,
                      int64_t aNowMs) const
{
  const int64_t heardMs = std::max(aAnnouncedMs, lastContactMs_);
  const auto sent = placedOutOfContact_.find(aEndpoint);
  if (aNowMs - heardMs <= kWarmUpHoldMs || sent == placedOutOfContact_.end()) {
    return true;
  }
  const double limit = LimitOf(aService);
  return limit == 0 || sent->second.At(aNowMs, ShareOf(limit)) >= 1;
}

bool
WarmUp::Take(const std::string& aEndpoint,
             const std::string& aService,
             int64_t aNowMs)
{
  const double limit = LimitOf(aService);
  if (limit > 0 && aNowMs - lastContactMs_ > kWarmUpHoldMs) {
    placedOutOfContact_[aEndpoint].Take(aNowMs, ShareOf(limit));
  }
  Cold* cold = limit == 0 ? nullptr : FindCold(aEndpoint, aNowMs);
  if (cold == nullptr) {
    return false;
  }
  cold->allowance_.Take(aNowMs, PerRouter(limit));
  cold->unsentSinceMs_ = aNowMs;
  return true;
}

void
WarmUp::OnSent(const std::string& aEndpoint, int64_t aPlacedMs, int64_t aNowMs)
{
  Cold* cold = FindCold(aEndpoint, aNowMs);
  if (cold == nullptr || !cold->unsentSinceMs_ ||
      aPlacedMs < *cold->unsentSinceMs_) {
    return;
  }
  // What the endpoint bears next counts from now.
  cold->unsentSinceMs_ = std::nullopt;
  cold->allowance_.atMs_ = aNowMs;
}

bool
WarmUp::HasBecomeCold(const std::string& aEndpoint,
                      const std::string& aService,
                      int64_t aPlacedMs,
                      int64_t aNowMs) const
{
  const Cold* cold = FindCold(aEndpoint, aNowMs);
  return cold != nullptr && LimitOf(aService) > 0 &&
         cold->sinceMs_ >= aPlacedMs;
}

int64_t
WarmUp::ColdCount(int64_t aNowMs) const
{
  return std::count_if(cold_.begin(), cold_.end(), [&](const auto& aPair) {
    return aNowMs < aPair.second.untilMs_;
  });
}

} // namespace cactuswick::routing

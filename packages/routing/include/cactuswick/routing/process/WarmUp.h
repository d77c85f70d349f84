#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cactuswick/routing/process/RendezvousRank.h"

namespace cactuswick::routing {

/// Requests that a cold endpoint of a service bears.
struct WarmUpLimit
{
  std::string service_;
  /// Requests per second from all routers together; 0 for no limit.
  double perSecond_ = 0;

  bool operator==(const WarmUpLimit&) const = default;
};

/// Longest time without contact to control for which a router may send to cold
/// endpoints.
inline constexpr int64_t kWarmUpContactMs = 3'000;
/// Longest time that a change of the list of routers needs to reach a router
/// that is in contact with control.
inline constexpr int64_t kWarmUpPropagationMs = 2'000;
/// Margin between the turns of two routers.
inline constexpr int64_t kWarmUpMarginMs = 1'500;
/// Time for which a router must have been in contact and chosen before it sends
/// to a cold endpoint: until then the one that it replaces may still send.
inline constexpr int64_t kWarmUpHoldMs =
  kWarmUpContactMs + kWarmUpPropagationMs + kWarmUpMarginMs;

/// Time for which a call that is still connecting to a cold endpoint holds back
/// the next one.
inline constexpr int64_t kWarmUpConnectMs = 1'000;

/// Returns how many routers send to a cold endpoint that bears
/// @p aPerSecond requests per second. Each sends an equal part, and may send
/// one request at once.
int64_t
WarmUpRouters(double aPerSecond);

/// One router's allowance for endpoints that have just started and bear only a
/// few requests per second, summed over all routers. Answers the load of
/// endpoints that restart during traffic, or that all come back at once with
/// their failure domain.
///
/// Every router finds from the list of routers alone which few of them may send
/// to a cold endpoint. A router that has not heard from control, or was chosen
/// only a moment ago, sends nothing to cold endpoints.
///
/// A request is counted when it is placed. The next one is placed after it has
/// been sent, or after kWarmUpConnectMs; the allowance grows again from the
/// sending on.
///
/// A router that is out of contact does not hear that an endpoint has become
/// cold. It prefers endpoints that still have a part of its share of the limit,
/// and uses the others if there are none, so that a
/// network partition does not stop service.
class WarmUp
{
public:
  /// Returns the rank of a VM among all VMs for an endpoint.
  using RankHook = std::function<int64_t(const std::string& aVm,
                                         const std::vector<std::string>& aVms,
                                         const std::string& aEndpoint)>;

  /// @p aVm is the name of this router's VM.
  explicit WarmUp(std::string aVm = {}, RankHook aRank = &RendezvousRank);

  /// Sets the limits of all services; those not listed have none.
  void SetLimits(const std::vector<WarmUpLimit>& aLimits);
  /// Sets the VMs of the routers that serve callers.
  void SetRouters(std::vector<std::string> aVms, int64_t aNowMs);
  /// Records that bytes of control were received last at @p aReceivedMs.
  void OnContact(int64_t aReceivedMs);
  /// Records that an endpoint is cold until @p aUntilMs.
  void SetCold(const std::string& aEndpoint, int64_t aUntilMs, int64_t aNowMs);
  /// Records that an endpoint is warm or gone.
  void SetWarm(const std::string& aEndpoint);

  bool IsCold(const std::string& aEndpoint, int64_t aNowMs) const;
  /// Returns whether a request for @p aService may be placed at the endpoint
  /// now; always true if it is warm or bears any number.
  bool Allows(const std::string& aEndpoint,
              const std::string& aService,
              int64_t aNowMs) const;
  /// Returns whether the endpoint, last heard of at @p aAnnouncedMs, or control
  /// was heard of within kWarmUpHoldMs, or this router has a part of its share
  /// of the limit left.
  bool IsWithinShare(const std::string& aEndpoint,
                     const std::string& aService,
                     int64_t aAnnouncedMs,
                     int64_t aNowMs) const;
  /// Counts a request that is placed at the endpoint; returns whether it is
  /// cold and the service has a limit.
  bool Take(const std::string& aEndpoint,
            const std::string& aService,
            int64_t aNowMs);
  /// Records that a request that was placed at @p aPlacedMs has been sent.
  void OnSent(const std::string& aEndpoint, int64_t aPlacedMs, int64_t aNowMs);
  /// Returns whether the endpoint has become cold since @p aPlacedMs, so that a
  /// request that was placed there then is not counted.
  bool HasBecomeCold(const std::string& aEndpoint,
                     const std::string& aService,
                     int64_t aPlacedMs,
                     int64_t aNowMs) const;
  /// Number of endpoints that are cold.
  int64_t ColdCount(int64_t aNowMs) const;

private:
  /// Requests that may be sent at once, at most 1, as of @c atMs_.
  struct Allowance
  {
    double requests_ = 1;
    int64_t atMs_ = 0;

    double At(int64_t aNowMs, double aPerSecond) const;
    void Take(int64_t aNowMs, double aPerSecond);
  };
  /// Rank of this router for an endpoint in one list.
  struct Rank
  {
    int64_t list_ = 0;
    int64_t rank_ = 0;
  };
  struct Cold
  {
    int64_t sinceMs_ = 0;
    int64_t untilMs_ = 0;
    Allowance allowance_;
    /// When the request that is not sent yet was placed.
    std::optional<int64_t> unsentSinceMs_;
    /// Cached, as ranking hashes the whole list.
    std::vector<Rank> ranks_;
  };
  /// VMs of the routers from some time on.
  struct RouterList
  {
    int64_t id_ = 0;
    int64_t sinceMs_ = 0;
    std::vector<std::string> vms_;
  };

  double LimitOf(const std::string& aService) const;
  /// Returns the state of an endpoint that is cold now.
  Cold* FindCold(const std::string& aEndpoint, int64_t aNowMs) const;
  bool IsInContact(int64_t aNowMs) const;
  bool IsChosen(const std::string& aEndpoint,
                Cold& aCold,
                double aPerSecond,
                int64_t aNowMs) const;
  int64_t RankIn(const RouterList& aList,
                 const std::string& aEndpoint,
                 Cold& aCold) const;
  /// Returns this router's equal part of a limit.
  double ShareOf(double aPerSecond) const;

  std::string vm_;
  RankHook rank_;
  std::map<std::string, double> limits_;
  /// Mutable for the cached ranks.
  mutable std::map<std::string, Cold> cold_;
  /// Requests placed while out of contact, by endpoint.
  std::map<std::string, Allowance> placedOutOfContact_;
  /// The lists in force within the last kWarmUpHoldMs, oldest first.
  std::deque<RouterList> lists_;
  int64_t lastListId_ = 0;
  int64_t contactSinceMs_ = 0;
  int64_t lastContactMs_ = 0;
  bool hasContact_ = false;
};

} // namespace cactuswick::routing

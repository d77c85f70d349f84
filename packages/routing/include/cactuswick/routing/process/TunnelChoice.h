#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace cactuswick::routing {

/// A router that may connect this one to endpoints.
struct TunnelRouter
{
  std::string address_;
  std::string failureDomain_;
  std::string region_;

  bool operator==(const TunnelRouter&) const = default;
};

struct TunnelChoiceOptions
{
  std::string failureDomain_;
  std::string region_;
  uint64_t seed_ = 1;
};

/// Chooses the router through which a router that is cut off from the endpoints
/// connects to them: one that has just opened a tunnel, else any of the region,
/// those of other failure domains first, since a whole domain may be cut off.
/// The load is spread over several. Has neither I/O nor a clock.
class TunnelChoice
{
public:
  explicit TunnelChoice(TunnelChoiceOptions aOptions);

  /// Sets the other routers that serve.
  void SetRouters(std::vector<TunnelRouter> aRouters);

  /// Returns the address of a router without those in @p aTried; one that
  /// failed just now only if there is no other. Returns nullopt if none is
  /// left.
  std::optional<std::string> Choose(const std::vector<std::string>& aTried,
                                    int64_t aNowMs);
  void OnOpened(const std::string& aAddress, int64_t aNowMs);
  void OnFailed(const std::string& aAddress, int64_t aNowMs);

private:
  struct Experience
  {
    /// The router opened a tunnel not long before this time.
    int64_t provenUntilMs_ = 0;
    /// It is not asked before this time.
    int64_t avoidedUntilMs_ = 0;
    int64_t failures_ = 0;
  };

  /// Returns how far a router is from this one; nearer ones are asked first.
  int64_t DistanceOf(const TunnelRouter& aRouter) const;
  /// Returns the router that has to be avoided for the shortest time.
  std::optional<std::string> NextDue(
    const std::vector<std::string>& aTried) const;
  bool IsProven(const std::string& aAddress, int64_t aNowMs) const;
  bool IsAvoided(const std::string& aAddress, int64_t aNowMs) const;

  TunnelChoiceOptions options_;
  std::mt19937_64 random_;
  std::vector<TunnelRouter> routers_;
  std::map<std::string, Experience> experiences_;
};

} // namespace cactuswick::routing

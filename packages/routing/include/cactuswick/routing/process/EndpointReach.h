#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace cactuswick::routing {

struct EndpointReachOptions
{
  /// Endpoints that are probed when the router suspects itself; it is cut off
  /// if none of them is reached.
  size_t probes_ = 3;
  /// Failures count for this long, in milliseconds.
  int64_t windowMs_ = 3'000;
  /// Pause between probes while cut off, in milliseconds.
  int64_t probeIntervalMs_ = 250;
  /// Probes in a row that reach an endpoint before the router connects
  /// directly again.
  int64_t probesToReturn_ = 2;
  uint64_t seed_ = 1;
};

/// Tells whether a router itself, and not single endpoints, is cut off: for
/// partitions between a router and the endpoints while callers, control and the
/// other routers still reach it.
///
/// A router suspects itself first. After two endpoints in a row could not be
/// connected to, or after a silence of all endpoints, it probes others: one
/// connection that is established clears it, and only probes that all fail cut
/// it off, so that endpoints that die together don't. Only new connections
/// count, since those that were kept may live on through a partition. Has
/// neither I/O nor a clock.
class EndpointReach
{
public:
  explicit EndpointReach(EndpointReachOptions aOptions = {});

  /// Records that a new connection to an endpoint was established at
  /// @p aNowMs.
  void OnConnected(int64_t aNowMs);
  /// Records that an endpoint could not be connected to.
  void OnConnectFailed(const std::string& aAddress, int64_t aNowMs);
  /// Records that a probe did not reach its endpoint.
  void OnProbeFailed(const std::string& aAddress, int64_t aNowMs);
  /// Records that requests wait and no endpoint has sent anything for long.
  void OnSilence(int64_t aNowMs);

  bool IsCutOff() const { return state_ == State::kCutOff; }
  /// Returns whether failures may be this router's own: it is cut off or
  /// suspects it.
  bool IsInDoubt() const { return state_ != State::kReachable; }

  /// Returns which of the known endpoints to connect to now, to learn whether
  /// they can be reached. Each result has to be recorded, by OnConnected() or
  /// OnProbeFailed().
  std::vector<std::string> TakeProbes(const std::vector<std::string>& aKnown,
                                      int64_t aNowMs);

private:
  enum class State
  {
    kReachable,
    kSuspected,
    kCutOff,
  };

  void Suspect(int64_t aNowMs);
  /// Chooses @p aCount endpoints at random; while there is only a suspicion,
  /// those that have not just failed if there are enough of them.
  std::vector<std::string> Sample(const std::vector<std::string>& aKnown,
                                  size_t aCount);
  void ForgetOldFailures(int64_t aNowMs);

  EndpointReachOptions options_;
  std::mt19937_64 random_;
  State state_ = State::kReachable;
  /// Time of the last failure, by address, since an endpoint was reached.
  std::map<std::string, int64_t> failedMs_;
  int64_t suspectedMs_ = 0;
  bool hasProbed_ = false;
  /// Probes of this suspicion that are under way.
  std::set<std::string> probing_;
  int64_t lastProbeMs_ = 0;
  int64_t probesReached_ = 0;
};

} // namespace cactuswick::routing

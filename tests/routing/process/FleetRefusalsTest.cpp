#include <algorithm>
#include <deque>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "cactuswick/model/process/Text.h"
#include "cactuswick/routing/process/EndpointTable.h"

namespace cactuswick::routing {
namespace {

constexpr const char* kService = "engine";
constexpr const char* kEndpoint = "e";
/// Refusals per second above which the endpoint fails.
constexpr size_t kBearableRefusals = 5;
constexpr int64_t kSecondMs = 1'000;
/// Round trip to the endpoint and pause between two requests of a router.
constexpr int64_t kStepMs = 20;
constexpr int64_t kRunMs = 5'000;

/// Routers whose callers keep asking, and one endpoint that is full.
class Fleet
{
public:
  explicit Fleet(int aRouters)
  {
    for (int i = 0; i < aRouters; ++i) {
      routers_.emplace_back(
        EndpointTableOptions{ .vm_ = model::Concat("r", i) });
      routers_.back().ApplyAnnouncement({ .endpoint_ = kEndpoint,
                                          .serves_ = { kService },
                                          .slots_ = 64,
                                          .incarnation_ = 1,
                                          .leaseMs_ = 10 * kRunMs },
                                        0,
                                        0);
    }
  }

  /// Returns the most refusals that the endpoint sent within a second.
  size_t Run()
  {
    std::deque<int64_t> refusals;
    size_t most = 0;
    for (int64_t now = 0; now < kRunMs; now += kStepMs) {
      for (auto& router : routers_) {
        if (router.Acquire(kService, 0, {}, now)) {
          router.Release(kEndpoint, AttemptOutcome::kNeutral, now);
          refusals.push_back(now);
        }
      }
      while (!refusals.empty() && refusals.front() <= now - kSecondMs) {
        refusals.pop_front();
      }
      most = std::max(most, refusals.size());
    }
    return most;
  }

private:
  std::vector<EndpointTable> routers_;
};

TEST(FleetRefusals, NineRoutersRefusedByAFullEndpointStayWithinWhatItBears)
{
  EXPECT_LE(Fleet(9).Run(), kBearableRefusals);
}

TEST(FleetRefusals, ManyRoutersRefusedByAFullEndpointStayWithinWhatItBears)
{
  EXPECT_LE(Fleet(340).Run(), kBearableRefusals);
}

} // namespace
} // namespace cactuswick::routing

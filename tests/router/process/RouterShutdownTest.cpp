#include "process/RouterShutdown.h"

#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace cactuswick::router {
namespace {

constexpr int64_t kLeaveMs = 100;
constexpr int64_t kDrainMs = 1'000;
constexpr int64_t kDeregisterTimeoutMs = 3'000;
constexpr int64_t kReplyTimeoutMs = 300;

/// Fake router that records the steps of its shutdown.
struct FakeRouter
{
  RouterShutdownOptions Options()
  {
    return { .leaveMs_ = kLeaveMs,
             .drainMs_ = kDrainMs,
             .isRegistered_ = [this] { return registered_; },
             .isIdle_ = [this] { return idle_; },
             .onDrainTimeout_ = [this] { steps_.emplace_back("end"); },
             .onLeave_ = [this] { steps_.emplace_back("leave"); },
             .onDeregister_ = [this] { steps_.emplace_back("deregister"); },
             .onStopReading_ = [this] { isReading_ = false; },
             .onStopped_ =
               [this](const absl::Status& aStatus) {
                 steps_.emplace_back(aStatus.ok() ? "stopped" : "failed");
               } };
  }

  bool registered_ = true;
  bool idle_ = true;
  bool isReading_ = true;
  std::vector<std::string> steps_;
};

using Steps = std::vector<std::string>;

TEST(RouterShutdown, ServesUntilOldEntryListsExpire)
{
  FakeRouter router;
  RouterShutdown shutdown(router.Options());
  shutdown.OnTick(0);
  EXPECT_FALSE(shutdown.IsLeaving());
  shutdown.Begin(0);
  shutdown.Begin(kLeaveMs);
  shutdown.OnTick(kLeaveMs - 1);
  EXPECT_TRUE(shutdown.IsLeaving());
  EXPECT_FALSE(shutdown.RefusesNew());
  EXPECT_EQ(router.steps_, Steps{ "leave" });
}

TEST(RouterShutdown, DeregistersOnceIdle)
{
  FakeRouter router;
  router.idle_ = false;
  RouterShutdown shutdown(router.Options());
  shutdown.Begin(0);
  shutdown.OnTick(kLeaveMs);
  EXPECT_TRUE(shutdown.RefusesNew());
  EXPECT_FALSE(shutdown.IsDeregistered());
  router.idle_ = true;
  shutdown.OnTick(kLeaveMs + 1);
  EXPECT_TRUE(shutdown.IsDeregistered());
  shutdown.Stop(absl::OkStatus());
  shutdown.Stop(absl::InternalError(""));
  EXPECT_EQ(router.steps_, (Steps{ "leave", "deregister", "stopped" }));
}

TEST(RouterShutdown, DeregistrationTimesOut)
{
  FakeRouter router;
  RouterShutdown shutdown(router.Options());
  shutdown.Begin(0);
  shutdown.OnTick(kLeaveMs);
  shutdown.OnTick(kLeaveMs + kDeregisterTimeoutMs - 1);
  EXPECT_EQ(router.steps_, (Steps{ "leave", "deregister" }));
  shutdown.OnTick(kLeaveMs + kDeregisterTimeoutMs);
  EXPECT_EQ(router.steps_, (Steps{ "leave", "deregister", "stopped" }));
}

TEST(RouterShutdown, RequestReadDuringDeregistrationIsAnsweredBeforeItStops)
{
  constexpr int64_t kDeregisteredMs = kLeaveMs + 10;
  FakeRouter router;
  RouterShutdown shutdown(router.Options());
  shutdown.Begin(0);
  shutdown.OnTick(kLeaveMs);
  EXPECT_TRUE(router.isReading_);
  router.idle_ = false;
  shutdown.OnDeregistered(kDeregisteredMs);
  EXPECT_FALSE(router.isReading_);
  shutdown.OnTick(kDeregisteredMs + 1);
  EXPECT_EQ(router.steps_, (Steps{ "leave", "deregister" }));
  router.idle_ = true;
  shutdown.OnTick(kDeregisteredMs + 2);
  EXPECT_EQ(router.steps_, (Steps{ "leave", "deregister", "stopped" }));
}

TEST(RouterShutdown, CallerThatDoesNotReadItsReplyDelaysTheStopBriefly)
{
  constexpr int64_t kDeregisteredMs = kLeaveMs + 10;
  FakeRouter router;
  RouterShutdown shutdown(router.Options());
  shutdown.Begin(0);
  shutdown.OnTick(kLeaveMs);
  router.idle_ = false;
  shutdown.OnDeregistered(kDeregisteredMs);
  shutdown.OnTick(kDeregisteredMs + kReplyTimeoutMs - 1);
  EXPECT_EQ(router.steps_, (Steps{ "leave", "deregister" }));
  shutdown.OnTick(kDeregisteredMs + kReplyTimeoutMs);
  EXPECT_EQ(router.steps_, (Steps{ "leave", "deregister", "stopped" }));
}

TEST(RouterShutdown, ReplyOnASlowLinkIsSentWhileTheGracePeriodLasts)
{
  constexpr int64_t kGraceMs = 7'100;
  constexpr int64_t kDeregisteredMs = kLeaveMs + 10;
  FakeRouter router;
  auto options = router.Options();
  options.graceMs_ = kGraceMs;
  RouterShutdown shutdown(std::move(options));
  shutdown.Begin(0);
  shutdown.OnTick(kLeaveMs);
  router.idle_ = false;
  shutdown.OnDeregistered(kDeregisteredMs);
  shutdown.OnTick(kGraceMs - 1);
  EXPECT_EQ(router.steps_, (Steps{ "leave", "deregister" }));
  shutdown.OnTick(kGraceMs);
  EXPECT_EQ(router.steps_, (Steps{ "leave", "deregister", "stopped" }));
}

TEST(RouterShutdown, NothingIsReadOnceTheTimeoutHasEndedTheRequests)
{
  FakeRouter router;
  router.idle_ = false;
  RouterShutdown shutdown(router.Options());
  shutdown.Begin(0);
  shutdown.OnTick(kLeaveMs + kDrainMs - 1);
  EXPECT_TRUE(router.isReading_);
  shutdown.OnTick(kLeaveMs + kDrainMs);
  EXPECT_FALSE(router.isReading_);
}

TEST(RouterShutdown, DeregistrationWaitsNoLongerThanTheGracePeriod)
{
  constexpr int64_t kGraceMs = 7'100;
  FakeRouter router;
  router.idle_ = false;
  auto options = router.Options();
  options.graceMs_ = kGraceMs;
  RouterShutdown shutdown(std::move(options));
  shutdown.Begin(0);
  shutdown.OnTick(kLeaveMs);
  router.idle_ = true;
  shutdown.OnTick(kGraceMs - 1);
  shutdown.OnTick(kGraceMs);
  EXPECT_FALSE(router.isReading_);
}

TEST(RouterShutdown, DrainTimesOut)
{
  FakeRouter router;
  router.idle_ = false;
  RouterShutdown shutdown(router.Options());
  shutdown.Begin(0);
  shutdown.OnTick(kLeaveMs + kDrainMs - 1);
  EXPECT_EQ(router.steps_, Steps{ "leave" });
  shutdown.OnTick(kLeaveMs + kDrainMs);
  shutdown.OnTick(kLeaveMs + kDrainMs + kReplyTimeoutMs - 1);
  EXPECT_EQ(router.steps_, (Steps{ "leave", "end" }));
  shutdown.OnTick(kLeaveMs + kDrainMs + kReplyTimeoutMs);
  EXPECT_EQ(router.steps_, (Steps{ "leave", "end", "stopped" }));
}

TEST(RouterShutdown, DeregistersWhenTheTimeoutHasEndedTheRequests)
{
  FakeRouter router;
  router.idle_ = false;
  RouterShutdown shutdown(router.Options());
  shutdown.Begin(0);
  shutdown.OnTick(kLeaveMs);
  shutdown.OnTick(kLeaveMs + kDrainMs);
  router.idle_ = true;
  shutdown.OnTick(kLeaveMs + kDrainMs + 1);
  EXPECT_EQ(router.steps_, (Steps{ "leave", "end", "deregister" }));
}

TEST(RouterShutdown, LateRequestIsAcceptedOnlyIfItEndsWithinTheGracePeriod)
{
  constexpr int64_t kGraceMs = 900;
  constexpr int64_t kEarlyMs = 299;
  constexpr int64_t kLateMs = 300;
  FakeRouter router;
  auto options = router.Options();
  options.leaveMs_ = kGraceMs / 2;
  options.graceMs_ = kGraceMs;
  RouterShutdown shutdown(options);
  EXPECT_TRUE(shutdown.Accepts(0, INT64_MAX));
  shutdown.Begin(0);
  EXPECT_TRUE(shutdown.Accepts(kEarlyMs, INT64_MAX));
  EXPECT_FALSE(shutdown.Accepts(kLateMs, kGraceMs + 1));
  EXPECT_TRUE(shutdown.Accepts(kLateMs, kGraceMs));
  shutdown.OnTick(kGraceMs / 2);
  EXPECT_FALSE(shutdown.Accepts(kGraceMs / 2, kGraceMs));
}

TEST(RouterShutdown, WaitsForRequestsWithoutDrainLimit)
{
  FakeRouter router;
  router.idle_ = false;
  auto options = router.Options();
  options.drainMs_ = 0;
  RouterShutdown shutdown(options);
  shutdown.Begin(0);
  shutdown.OnTick(INT64_MAX - 1);
  EXPECT_EQ(router.steps_, Steps{ "leave" });
}

TEST(RouterShutdown, GracePeriodStartsAtBegin)
{
  constexpr int64_t kGraceMs = 500;
  FakeRouter router;
  router.idle_ = false;
  auto options = router.Options();
  options.graceMs_ = kGraceMs;
  RouterShutdown shutdown(options);
  shutdown.Begin(0);
  shutdown.OnTick(kGraceMs - 1);
  EXPECT_EQ(router.steps_, Steps{ "leave" });
  shutdown.OnTick(kGraceMs);
  EXPECT_EQ(router.steps_, (Steps{ "leave", "end" }));
  shutdown.OnTick(kGraceMs + kReplyTimeoutMs);
  EXPECT_EQ(router.steps_, (Steps{ "leave", "end", "stopped" }));
}

TEST(RouterShutdown, UnregisteredRouterStopsAtOnce)
{
  FakeRouter router;
  router.registered_ = false;
  RouterShutdown shutdown(router.Options());
  shutdown.Begin(0);
  shutdown.OnTick(0);
  EXPECT_EQ(router.steps_, Steps{ "stopped" });
}

TEST(RouterShutdown, ErrorStopsServingRouter)
{
  FakeRouter router;
  RouterShutdown shutdown(router.Options());
  shutdown.Stop(absl::InternalError(""));
  shutdown.Begin(0);
  shutdown.OnTick(kLeaveMs);
  EXPECT_EQ(router.steps_, Steps{ "failed" });
}

} // namespace
} // namespace cactuswick::router

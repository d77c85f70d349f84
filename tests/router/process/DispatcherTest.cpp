#include "process/Dispatcher.h"

#include <gtest/gtest.h>

namespace cactuswick::router {
namespace {

using transport::EventLoop;

constexpr int64_t kWaitMs = 1'000;

/// Places requests at endpoints with one slot.
class DispatcherTest : public testing::Test
{
protected:
  DispatcherTest()
    : dispatcher_(loop_, {})
    , timeout_(loop_, [this] { loop_.Stop(); })
  {
  }

  void Announce(const std::string& aName)
  {
    dispatcher_.ApplyAnnouncement({ .endpoint_ = aName,
                                    .serves_ = { "m" },
                                    .address_ = aName + ":1",
                                    .failureDomain_ = aName,
                                    .slots_ = 1,
                                    .incarnation_ = 1,
                                    .sequence_ = 1,
                                    .leaseMs_ = 60'000 },
                                  0);
  }

  void Enqueue(routing::RequestId aId)
  {
    dispatcher_.Enqueue(
      { .queued_ = { .id_ = aId, .deadlineMs_ = EventLoop::NowMs() + kWaitMs },
        .serves_ = "m",
        .onPlaced_ =
          [this](const model::Announcement& aEndpoint, ledger::Tokens) {
            placed_.push_back(aEndpoint.endpoint_);
          },
        .onExpired_ = [this] { ++expired_; },
        .onEvacuated_ = [this] { ++evacuated_; } });
  }

  void RunFor(int64_t aMs)
  {
    timeout_.StartOnce(aMs);
    loop_.Run();
  }

  EventLoop loop_;
  Dispatcher dispatcher_;
  transport::Timer timeout_;
  std::vector<std::string> placed_;
  int expired_ = 0;
  int evacuated_ = 0;
};

TEST_F(DispatcherTest, WaitingRequestsEndWhenAllIsEvacuated)
{
  Announce("a");
  Enqueue(1);
  Enqueue(2);
  RunFor(10);
  ASSERT_EQ(placed_, std::vector<std::string>{ "a" });
  dispatcher_.SetEvacuations(routing::Evacuations({ "a" }));
  RunFor(kWaitMs / 2);
  EXPECT_EQ(evacuated_, 1);
  EXPECT_EQ(expired_, 0);
  EXPECT_EQ(dispatcher_.Queued(), 0U);
}

TEST_F(DispatcherTest, WaitingRequestsMoveToOtherDomains)
{
  Announce("a");
  Enqueue(1);
  Enqueue(2);
  RunFor(10);
  dispatcher_.SetEvacuations(routing::Evacuations({ "a" }));
  Announce("b");
  RunFor(kWaitMs / 2);
  EXPECT_EQ(placed_, (std::vector<std::string>{ "a", "b" }));
  EXPECT_EQ(evacuated_, 0);
}

TEST_F(DispatcherTest, WaitingRequestsAreServedWhenTheEvacuationEnds)
{
  Announce("a");
  Enqueue(1);
  Enqueue(2);
  RunFor(10);
  dispatcher_.SetEvacuations(routing::Evacuations({ "a" }));
  dispatcher_.SetEvacuations({});
  dispatcher_.Release("m", "a", routing::AttemptOutcome::kServed);
  RunFor(kWaitMs / 2);
  EXPECT_EQ(placed_, (std::vector<std::string>{ "a", "a" }));
  EXPECT_EQ(evacuated_, 0);
}

TEST_F(DispatcherTest, UnsentRequestsLeaveAnEndpointThatBecomesCold)
{
  dispatcher_.Endpoints().ColdEndpoints().SetLimits({ { "m", 2 } });
  Announce("a");
  Enqueue(1);
  RunFor(10);
  ASSERT_EQ(placed_, std::vector<std::string>{ "a" });
  model::Announcement cold = *dispatcher_.Endpoints().Find("a");
  const int64_t placedMs = EventLoop::NowMs() - 1;
  EXPECT_TRUE(dispatcher_.TakesRequests(cold, "m", placedMs));
  int stopped = 0;
  dispatcher_.SetEndpointsStoppedHook([&] { ++stopped; });
  cold.sequence_ = 2;
  cold.coldLeftMs_ = 5'000;
  dispatcher_.ApplyAnnouncement(cold, 0);
  RunFor(10);
  EXPECT_EQ(stopped, 1);
  EXPECT_FALSE(dispatcher_.TakesRequests(cold, "m", placedMs));
  EXPECT_TRUE(dispatcher_.TakesRequests(cold, "m", EventLoop::NowMs()));
  EXPECT_TRUE(dispatcher_.TakesRequests(cold, "other", placedMs));
}

TEST_F(DispatcherTest, RequestsWithoutAnyEndpointWaitUntilTheirDeadline)
{
  dispatcher_.SetEvacuations(routing::Evacuations({ "a" }));
  Enqueue(1);
  RunFor(kWaitMs + 200);
  EXPECT_EQ(evacuated_, 0);
  EXPECT_EQ(expired_, 1);
}

TEST_F(DispatcherTest, RequestOfABusyVersionDoesNotHoldUpOthers)
{
  for (const std::string version : { "1", "2" }) {
    dispatcher_.ApplyAnnouncement({ .endpoint_ = "v" + version,
                                    .serves_ = { "m" },
                                    .address_ = "v" + version + ":1",
                                    .slots_ = 1,
                                    .incarnation_ = 1,
                                    .sequence_ = 1,
                                    .leaseMs_ = 60'000,
                                    .softwareVersion_ = version },
                                  0);
  }
  const auto enqueue = [this](routing::RequestId aId,
                              std::optional<std::string> aVersion) {
    dispatcher_.Enqueue(
      { .queued_ = { .id_ = aId, .deadlineMs_ = EventLoop::NowMs() + kWaitMs },
        .serves_ = "m",
        .softwareVersion_ = std::move(aVersion),
        .onPlaced_ =
          [this](const model::Announcement& aEndpoint, ledger::Tokens) {
            placed_.push_back(aEndpoint.endpoint_);
          },
        .onExpired_ = [this] { ++expired_; } });
  };
  enqueue(1, "1");
  enqueue(2, "1");
  enqueue(3, "1");
  enqueue(4, std::nullopt);
  RunFor(10);
  EXPECT_EQ(placed_, (std::vector<std::string>{ "v1", "v2" }));
  EXPECT_EQ(dispatcher_.Queued(), 2U);
  dispatcher_.Cancel(2);
  dispatcher_.Release("m", "v1", routing::AttemptOutcome::kServed);
  RunFor(10);
  EXPECT_EQ(placed_, (std::vector<std::string>{ "v1", "v2", "v1" }));
  EXPECT_EQ(dispatcher_.Queued(), 0U);
}

} // namespace
} // namespace cactuswick::router

#include <gtest/gtest.h>

#include "version/PushPlan.h"

namespace cactuswick::control {
namespace {

using Links = std::vector<transport::LinkId>;

/// No link has queued bytes.
size_t
NoPendingBytes(transport::LinkId)
{
  return 0;
}

TEST(PushPlan, NewSubscribersComeFirstThenOldestPush)
{
  const std::map<transport::LinkId, Subscriber> subscribers{
    { 1, { .revision_ = 4, .initialStateSent_ = true, .lastPushMs_ = 500 } },
    { 2, { .revision_ = 4, .initialStateSent_ = true, .lastPushMs_ = 300 } },
    { 3, { .revision_ = 0 } },
    { 4, { .revision_ = 5, .initialStateSent_ = true, .lastPushMs_ = 100 } }
  };
  EXPECT_EQ(DuePushes(subscribers, 5, 1'000, &NoPendingBytes),
            (Links{ 3, 2, 1 }));
}

TEST(PushPlan, ChangesWithinIntervalShareOnePush)
{
  const std::map<transport::LinkId, Subscriber> subscribers{
    { 1, { .revision_ = 4, .initialStateSent_ = true, .lastPushMs_ = 500 } }
  };
  EXPECT_EQ(
    DuePushes(subscribers, 5, 500 + kPushIntervalMs - 1, &NoPendingBytes),
    Links{});
  EXPECT_EQ(DuePushes(subscribers, 5, 500 + kPushIntervalMs, &NoPendingBytes),
            Links{ 1 });
}

TEST(PushPlan, UpToDateNewSubscriberGetsInitialState)
{
  const std::map<transport::LinkId, Subscriber> subscribers{
    { 1, { .revision_ = 5 } }
  };
  EXPECT_EQ(DuePushes(subscribers, 5, 0, &NoPendingBytes), Links{ 1 });
}

TEST(PushPlan, BusyLinkIsSkipped)
{
  const std::map<transport::LinkId, Subscriber> subscribers{
    { 1, { .revision_ = 4, .initialStateSent_ = true, .lastPushMs_ = 0 } },
    { 2, { .revision_ = 4, .initialStateSent_ = true, .lastPushMs_ = 1 } }
  };
  const auto pending = [](transport::LinkId aLink) {
    return aLink == 1 ? kBusyLinkBytes + 1 : kBusyLinkBytes;
  };
  EXPECT_EQ(DuePushes(subscribers, 5, 1'000, pending), Links{ 2 });
}

TEST(PushPlan, OnePushIsAlwaysAllowed)
{
  PushAllowance allowance;
  EXPECT_FALSE(allowance.IsExhausted());
  allowance.Spend(kTurnPushBytes);
  EXPECT_TRUE(allowance.IsExhausted());
}

} // namespace
} // namespace cactuswick::control

#include <gtest/gtest.h>

#include "process/EndpointRelay.h"

namespace cactuswick::control {
namespace {

model::Announcement
AnnouncementOf(int aNumber)
{
  return { .endpoint_ = "e" + std::to_string(aNumber),
           .address_ = "10.0.0." + std::to_string(aNumber) + ":80",
           .incarnation_ = 1,
           .sequence_ = 1,
           .leaseMs_ = 3'000 };
}

EndpointRelayOptions
DiscardingOptions()
{
  return { .sendToReplicas_ = [](const transport::PeerMessage&) {},
           .sendToRouters_ = [](const transport::PeerMessage&) {} };
}

// Guards against encoding all endpoints anew for each router that connects.
TEST(EndpointRelay, EncodingOfAllIsShared)
{
  EndpointRelay relay(DiscardingOptions());
  relay.OnAnnouncement(AnnouncementOf(1), 0);
  EXPECT_EQ(relay.All(10), relay.All(500));
}

TEST(EndpointRelay, ChangeInvalidatesEncodingOfAll)
{
  EndpointRelay relay(DiscardingOptions());
  relay.OnAnnouncement(AnnouncementOf(1), 0);
  const auto one = relay.All(10);
  relay.OnAnnouncement(AnnouncementOf(2), 20);
  const auto two = relay.All(30);
  EXPECT_NE(two, one);
  relay.OnRetired({ "e1", 1 });
  EXPECT_NE(relay.All(40), two);
}

} // namespace
} // namespace cactuswick::control

#include <gtest/gtest.h>

#include "process/EndpointDirectory.h"

namespace cactuswick::control {
namespace {

model::Announcement
From(const std::string& aName,
     int64_t aIncarnation,
     int64_t aSequence,
     const std::string& aAddress = "10.0.0.1:80")
{
  return { .endpoint_ = aName,
           .serves_ = { "s" },
           .address_ = aAddress,
           .incarnation_ = aIncarnation,
           .sequence_ = aSequence,
           .leaseMs_ = 1'000 };
}

TEST(EndpointDirectory, TellsNewsFromRenewals)
{
  EndpointDirectory directory;
  EXPECT_EQ(directory.ApplyAnnouncement(From("a", 1, 1), 0, 0),
            AnnouncementResult::kChange);
  EXPECT_EQ(directory.ApplyAnnouncement(From("a", 1, 2), 0, 10),
            AnnouncementResult::kRenewal);
  EXPECT_EQ(directory.ApplyAnnouncement(From("a", 1, 2), 0, 10),
            AnnouncementResult::kStale);
  // The same identity, born again, counts from the start.
  EXPECT_EQ(directory.ApplyAnnouncement(From("a", 2, 1), 0, 20),
            AnnouncementResult::kChange);
  EXPECT_EQ(directory.ApplyAnnouncement(From("a", 1, 9), 0, 30),
            AnnouncementResult::kStale);
}

TEST(EndpointDirectory, AnAddressBelongsToWhoeverStartedThereLast)
{
  EndpointDirectory directory;
  directory.ApplyAnnouncement(From("old", 5, 1), 0, 0);
  EXPECT_EQ(directory.ApplyAnnouncement(From("new", 8, 1), 0, 10),
            AnnouncementResult::kChange);
  EXPECT_EQ(directory.All(10).size(), 1U);
  // Held up by a partition, from an endpoint that has crashed since.
  EXPECT_EQ(directory.ApplyAnnouncement(From("old", 5, 2), 0, 20),
            AnnouncementResult::kStale);
}

TEST(EndpointDirectory, ARetiredIncarnationDoesNotComeBack)
{
  EndpointDirectory directory;
  directory.ApplyAnnouncement(From("a", 5, 1), 0, 0);
  directory.Retire("a", 5);
  EXPECT_TRUE(directory.All(0).empty());
  EXPECT_EQ(directory.ApplyAnnouncement(From("a", 5, 2), 0, 10),
            AnnouncementResult::kStale);
  EXPECT_EQ(directory.ApplyAnnouncement(From("a", 6, 1), 0, 10),
            AnnouncementResult::kChange);
}

TEST(EndpointDirectory, AnAnnouncementHeardBeforeDoesNotBringBackWhatWasLost)
{
  EndpointDirectory directory;
  directory.ApplyAnnouncement(From("a", 1, 5), 0, 0);
  ASSERT_EQ(directory.Expire(2'000, 0).size(), 1U);
  // Held up at another replica. Routers would not take it, and would not be
  // told of later ones if it counted as news here.
  EXPECT_EQ(directory.ApplyAnnouncement(From("a", 1, 5), 0, 2'100),
            AnnouncementResult::kStale);
  EXPECT_EQ(directory.ApplyAnnouncement(From("a", 1, 6), 0, 2'200),
            AnnouncementResult::kChange);
  EXPECT_EQ(directory.ApplyAnnouncement(From("a", 1, 7), 0, 2'300),
            AnnouncementResult::kRenewal);
}

TEST(EndpointDirectory, LosesWhatIsSilentForItsLeaseButNotDuringTheGrace)
{
  EndpointDirectory directory;
  directory.ApplyAnnouncement(From("a", 5, 1), 0, 0);
  EXPECT_TRUE(directory.Expire(1'000, 0).empty());
  EXPECT_TRUE(directory.Expire(5'000, 6'000).empty());
  const auto lost = directory.Expire(6'000, 6'000);
  ASSERT_EQ(lost.size(), 1U);
  EXPECT_EQ(lost[0].incarnation_, 5);
  // Heard again, it is news.
  EXPECT_EQ(directory.ApplyAnnouncement(From("a", 5, 2), 0, 7'000),
            AnnouncementResult::kChange);
}

} // namespace
} // namespace cactuswick::control

#include <gtest/gtest.h>

#include "request/EventSplitter.h"
#include "request/SmallPieces.h"

namespace cactuswick::router {
namespace {

TEST(EventSplitter, ReturnsOnlyCompleteEvents)
{
  EventSplitter events;
  EXPECT_EQ(events.Feed("id: 1\ndata: a\n"), "");
  EXPECT_EQ(events.Feed("\nid: 2\nda"), "id: 1\ndata: a\n\n");
  EXPECT_EQ(events.LastId(), "1");
  EXPECT_EQ(events.Count(), 1);
  events.Continue();
  EXPECT_EQ(events.Feed("id: 2\r\ndata: b\r\n\r\n"),
            "id: 2\r\ndata: b\r\n\r\n");
  EXPECT_EQ(events.LastId(), "2");
}

TEST(EventSplitter, ContinuationDropsEventsAlreadyReturned)
{
  EventSplitter events;
  events.Feed("id: 9\ndata: a\n\nid: 10\ndata: b\n\nid: 1");
  events.Continue();
  EXPECT_EQ(events.Feed("id: 9\ndata: a\n\nid: 10\ndata: b\n\n"), "");
  EXPECT_EQ(events.Feed("id: 11\ndata: c\n\n"), "id: 11\ndata: c\n\n");
  EXPECT_EQ(events.LastId(), "11");
  EXPECT_EQ(events.Count(), 3);
}

TEST(EventSplitter, ContinuationKeepsEventsWithoutNumericId)
{
  EventSplitter events;
  events.SetLastId("b");
  events.Continue();
  EXPECT_EQ(events.Feed("id: a\n\ndata: x\n\n"), "id: a\n\ndata: x\n\n");
}

TEST(EventSplitter, EventsWithoutIdKeepLastId)
{
  EventSplitter events;
  events.SetLastId("7");
  EXPECT_EQ(events.Feed("data: x\n\ndata: y\n\n"), "data: x\n\ndata: y\n\n");
  EXPECT_EQ(events.LastId(), "7");
  EXPECT_EQ(events.Count(), 2);
}

TEST(EventSplitter, CanContinueOnlyAfterNumericId)
{
  const auto canContinue = [](std::string_view aBytes) {
    EventSplitter events;
    events.SetLastId("7");
    events.Feed(aBytes);
    return events.CanContinue();
  };
  EXPECT_TRUE(canContinue(""));
  EXPECT_TRUE(canContinue("data: hal"));
  EXPECT_TRUE(canContinue("id: 8\ndata: a\n\n"));
  EXPECT_TRUE(canContinue("data: a\n\nid: 9\ndata: b\n\n"));
  EXPECT_FALSE(canContinue("data: a\n\n"));
  EXPECT_FALSE(canContinue("id: 8\ndata: a\n\ndata: b\n\n"));
  EXPECT_FALSE(canContinue("id: 8\ndata: a\n\nid: x9\ndata: b\n\n"));
  EXPECT_FALSE(canContinue("id: 8\ndata: a\n\nid:\ndata: b\n\n"));
}

TEST(EventSplitter, CommentsDoNotPreventContinuation)
{
  EventSplitter events;
  events.Feed("id: 8\r\ndata: a\r\n\r\n: alive\r\n\r\n:\n\n");
  EXPECT_TRUE(events.CanContinue());
  events.Feed(": alive\ndata: b\n\n");
  EXPECT_FALSE(events.CanContinue());
}

TEST(EventSplitter, PartialEventIsReturnedUnchanged)
{
  EventSplitter events;
  events.Feed("id:1\n\ntail");
  EXPECT_EQ(events.LastId(), "1");
  EXPECT_EQ(events.TakePartialEvent(), "tail");
  EXPECT_EQ(events.TakePartialEvent(), "");
}

TEST(EventSplitter, ResultIsIndependentOfChunking)
{
  const std::string whole = "id: 1\ndata: a\n\nid: 2\n\nid: 3\ndata: c\n\n";
  for (size_t cut = 0; cut <= whole.size(); ++cut) {
    EventSplitter events;
    std::string out = events.Feed(whole.substr(0, cut));
    out += events.Feed(whole.substr(cut));
    EXPECT_EQ(out, whole) << cut;
    EXPECT_EQ(events.Count(), 3) << cut;
    EXPECT_EQ(events.LastId(), "3") << cut;
  }
}

/// Without the limit an event that never ends would fill the memory.
TEST(EventSplitter, UnterminatedEventExceedsSizeLimit)
{
  EventSplitter events;
  EXPECT_EQ(events.Feed("id: 1\n\ndata: "), "id: 1\n\n");
  events.Feed(std::string(EventSplitter::kMaxEventBytes / 2, 'a'));
  EXPECT_FALSE(events.IsEventTooLarge());
  events.Feed(std::string(EventSplitter::kMaxEventBytes / 2, 'a'));
  EXPECT_TRUE(events.IsEventTooLarge());
  events.Continue();
  EXPECT_FALSE(events.IsEventTooLarge());
  EXPECT_EQ(events.Feed("id: 2\n\n"), "id: 2\n\n");
}

TEST(EventSplitter, ManyCompleteEventsAreWithinSizeLimit)
{
  std::string whole;
  while (whole.size() <= 2 * EventSplitter::kMaxEventBytes) {
    whole += "data: a\n\n";
  }
  EventSplitter events;
  EXPECT_EQ(events.Feed(whole), whole);
  EXPECT_FALSE(events.IsEventTooLarge());
}

TEST(EventSplitter, SplitsSmallPiecesInLinearTime)
{
  ExpectLinearTimeForSmallPieces<EventSplitter>();
}

} // namespace
} // namespace cactuswick::router

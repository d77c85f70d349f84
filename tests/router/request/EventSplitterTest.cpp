#include <gtest/gtest.h>

#include "request/EventSplitter.h"

namespace cactuswick::router {
namespace {

TEST(EventSplitter, PassesOnWholeEventsOnly)
{
  EventSplitter events;
  EXPECT_EQ(events.Feed("id: 1\ndata: a\n"), "");
  EXPECT_EQ(events.Feed("\nid: 2\nda"), "id: 1\ndata: a\n\n");
  EXPECT_EQ(events.LastId(), "1");
  EXPECT_EQ(events.Count(), 1);
  events.DropRest();
  EXPECT_EQ(events.Feed("id: 2\r\ndata: b\r\n\r\n"),
            "id: 2\r\ndata: b\r\n\r\n");
  EXPECT_EQ(events.LastId(), "2");
}

TEST(EventSplitter, KeepsTheIdOverEventsWithoutOne)
{
  EventSplitter events;
  events.SetLastId("7");
  EXPECT_EQ(events.Feed("data: x\n\ndata: y\n\n"), "data: x\n\ndata: y\n\n");
  EXPECT_EQ(events.LastId(), "7");
  EXPECT_EQ(events.Count(), 2);
}

TEST(EventSplitter, GivesBytesBehindTheLastEventBackUnchanged)
{
  EventSplitter events;
  events.Feed("id:1\n\ntail");
  EXPECT_EQ(events.LastId(), "1");
  EXPECT_EQ(events.TakeRest(), "tail");
  EXPECT_EQ(events.TakeRest(), "");
}

TEST(EventSplitter, AnyCutOfTheBytesGivesTheSame)
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

} // namespace
} // namespace cactuswick::router

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "request/ChatRequest.h"

#include "cactuswick/model/process/Error.h"
#include "connection/EndpointApi.h"

namespace cactuswick::router {
namespace {

struct BadBody
{
  const char* body_;
  const char* field_;
};

class BadChat : public testing::TestWithParam<BadBody>
{};

TEST_P(BadChat, NamesTheOffendingField)
{
  const auto request = ParseChatRequest(GetParam().body_);
  ASSERT_FALSE(request.ok());
  EXPECT_EQ(model::FieldOf(request.status()), GetParam().field_);
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  BadChat,
  testing::Values(
    BadBody{ "", "" },
    BadBody{ "[1]", "" },
    BadBody{ "{}", "model" },
    BadBody{ R"({"model":1})", "model" },
    BadBody{ R"({"model":"m"})", "messages" },
    BadBody{ R"({"model":"m","messages":[]})", "messages" },
    BadBody{ R"({"model":"m","messages":[7]})", "messages" },
    BadBody{ R"({"model":"m","messages":[{"role":"u"}],"stream":1})",
             "stream" },
    BadBody{ R"({"model":"m","messages":[{"role":"u"}],"max_tokens":0})",
             "max_tokens" },
    BadBody{ R"({"model":"m","messages":[{"role":"u"}],"max_tokens":-5})",
             "max_tokens" },
    BadBody{ R"({"model":"m","messages":[{"role":"u"}],"max_tokens":1e9})",
             "max_tokens" }));

TEST(ChatRequest, BoundsThePromptByItsBytes)
{
  const std::string body =
    R"({"model":"m","messages":[{"role":"user","content":"hi"}]})";
  const auto request = ParseChatRequest(body);
  ASSERT_TRUE(request.ok());
  EXPECT_EQ(request->promptTokensBound_, static_cast<int64_t>(body.size()));
  EXPECT_FALSE(request->stream_);
}

TEST(ChatRequest, TellsTheEngineLimitAndPriority)
{
  const std::string body = EngineRequestBody(
    R"({"model":"m","stream":true,"messages":[{"role":"u"}]})", 7, 2);
  EXPECT_NE(body.find("\"max_tokens\":7"), std::string::npos);
  EXPECT_NE(body.find("\"priority\":2"), std::string::npos);
  EXPECT_NE(body.find("include_usage"), std::string::npos);
}

RC_GTEST_PROP(ChatRequestProperty, AnyBytesAreParsedOrRefused, ())
{
  const auto bytes = *rc::gen::arbitrary<std::string>();
  const auto request = ParseChatRequest(bytes);
  RC_ASSERT(request.ok() || !request.status().message().empty());
}

struct BadAnnouncement
{
  model::Announcement announcement_;
  const char* field_;
};

class Announcements : public testing::TestWithParam<BadAnnouncement>
{};

model::Announcement
Good()
{
  return { .endpoint_ = "e",
           .serves_ = { "m" },
           .address_ = "127.0.0.1:80",
           .failureDomain_ = "a" };
}

template<class Change>
model::Announcement
Changed(Change aChange)
{
  auto announcement = Good();
  aChange(announcement);
  return announcement;
}

TEST_P(Announcements, AreCheckedFieldByField)
{
  const auto status = ValidateAnnouncement(GetParam().announcement_);
  EXPECT_EQ(model::FieldOf(status), GetParam().field_);
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  Announcements,
  testing::Values(
    BadAnnouncement{ Good(), "" },
    BadAnnouncement{ Changed([](auto& a) { a.endpoint_ = ""; }), "endpoint" },
    BadAnnouncement{ Changed([](auto& a) { a.address_ = "host:1"; }),
                     "address" },
    BadAnnouncement{ Changed([](auto& a) { a.serves_.clear(); }), "serves" },
    BadAnnouncement{ Changed([](auto& a) { a.slots_ = 0; }), "slots" },
    BadAnnouncement{ Changed([](auto& a) { a.leaseMs_ = 1; }), "lease_ms" },
    BadAnnouncement{ Changed([](auto& a) { a.sequence_ = -1; }), "sequence" }));

} // namespace
} // namespace cactuswick::router

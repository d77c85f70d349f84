#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "request/ChatRequest.h"

#include "cactuswick/model/process/Error.h"
#include "connection/EndpointApi.h"

namespace cactuswick::router {
namespace {

struct InvalidBody
{
  const char* body_;
  const char* field_;
};

class InvalidChatRequest : public testing::TestWithParam<InvalidBody>
{};

TEST_P(InvalidChatRequest, ErrorNamesField)
{
  const auto request = ParseChatRequest(GetParam().body_);
  ASSERT_FALSE(request.ok());
  EXPECT_EQ(model::FieldOf(request.status()), GetParam().field_);
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  InvalidChatRequest,
  testing::Values(
    InvalidBody{ "", "" },
    InvalidBody{ "[1]", "" },
    InvalidBody{ "{}", "model" },
    InvalidBody{ R"({"model":1})", "model" },
    InvalidBody{ R"({"model":"m"})", "messages" },
    InvalidBody{ R"({"model":"m","messages":[]})", "messages" },
    InvalidBody{ R"({"model":"m","messages":[7]})", "messages" },
    InvalidBody{ R"({"model":"m","messages":[{"role":"u"}],"stream":1})",
                 "stream" },
    InvalidBody{ R"({"model":"m","messages":[{"role":"u"}],"max_tokens":0})",
                 "max_tokens" },
    InvalidBody{ R"({"model":"m","messages":[{"role":"u"}],"max_tokens":-5})",
                 "max_tokens" },
    InvalidBody{ R"({"model":"m","messages":[{"role":"u"}],"max_tokens":1e9})",
                 "max_tokens" }));

TEST(ChatRequest, BoundsPromptTokensByBodySize)
{
  const std::string body =
    R"({"model":"m","messages":[{"role":"user","content":"hi"}]})";
  const auto request = ParseChatRequest(body);
  ASSERT_TRUE(request.ok());
  EXPECT_EQ(request->promptTokensBound_, static_cast<int64_t>(body.size()));
  EXPECT_FALSE(request->stream_);
}

TEST(ChatRequest, EngineBodyHasTokenLimitAndPriority)
{
  const std::string body = EngineRequestBody(
    R"({"model":"m","stream":true,"messages":[{"role":"u"}]})", 7, 2);
  EXPECT_NE(body.find("\"max_tokens\":7"), std::string::npos);
  EXPECT_NE(body.find("\"priority\":2"), std::string::npos);
  EXPECT_NE(body.find("include_usage"), std::string::npos);
}

RC_GTEST_PROP(ChatRequestProperty, ArbitraryBytesAreParsedOrRejected, ())
{
  const auto bytes = *rc::gen::arbitrary<std::string>();
  const auto request = ParseChatRequest(bytes);
  RC_ASSERT(request.ok() || !request.status().message().empty());
}

struct AnnouncementCase
{
  model::Announcement announcement_;
  const char* field_;
};

class AnnouncementValidation : public testing::TestWithParam<AnnouncementCase>
{};

model::Announcement
ValidAnnouncement()
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
  auto announcement = ValidAnnouncement();
  aChange(announcement);
  return announcement;
}

TEST_P(AnnouncementValidation, ErrorNamesField)
{
  const auto status = ValidateAnnouncement(GetParam().announcement_);
  EXPECT_EQ(model::FieldOf(status), GetParam().field_);
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  AnnouncementValidation,
  testing::Values(
    AnnouncementCase{ ValidAnnouncement(), "" },
    AnnouncementCase{ Changed([](auto& a) { a.endpoint_ = ""; }), "endpoint" },
    AnnouncementCase{ Changed([](auto& a) { a.address_ = "host:1"; }),
                      "address" },
    AnnouncementCase{ Changed([](auto& a) { a.serves_.clear(); }), "serves" },
    AnnouncementCase{ Changed([](auto& a) { a.slots_ = 0; }), "slots" },
    AnnouncementCase{ Changed([](auto& a) { a.leaseMs_ = 1; }), "lease_ms" },
    AnnouncementCase{ Changed([](auto& a) { a.sequence_ = -1; }),
                      "sequence" }));

} // namespace
} // namespace cactuswick::router

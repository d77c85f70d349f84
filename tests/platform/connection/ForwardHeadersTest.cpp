#include <limits>

#include <gtest/gtest.h>

#include "cactuswick/platform/connection/ForwardHeaders.h"

#include "cactuswick/model/process/Error.h"

namespace cactuswick::platform {
namespace {

using transport::Headers;

const Headers kPlain = { { "Host", "Shop.example:80" },
                         { "X-Request-Id", "abc" },
                         { "X-Deadline-Ms", "1500" },
                         { "Authorization", "Token secret" },
                         { "X-Other", "kept" } };

Headers
With(Headers aExtra)
{
  Headers headers = kPlain;
  headers.insert(headers.end(), aExtra.begin(), aExtra.end());
  return headers;
}

bool
Has(const Headers& aHeaders, const std::string& aName)
{
  return std::any_of(aHeaders.begin(), aHeaders.end(), [&](const auto& aOne) {
    return aOne.name_ == aName;
  });
}

TEST(ForwardHeaders, DecodesCallerRequest)
{
  const auto request =
    DecodeRequest("/a/b?q=1",
                  With({ { "X-Token-Count", "1460,80" },
                         { "X-Prompt-Prefix", "5c:800,91:410,e4:250" },
                         { "Last-Event-Id", "12" },
                         { "Resumes", "id-0" } }));
  ASSERT_TRUE(request.ok()) << request.status();
  EXPECT_EQ(request->id_, "abc");
  EXPECT_EQ(request->host_, "shop.example");
  EXPECT_EQ(request->path_, "/a/b");
  EXPECT_EQ(request->apiKey_, "secret");
  EXPECT_EQ(request->deadlineMs_, 1'500);
  EXPECT_EQ(request->promptTokens_, 1'460);
  EXPECT_EQ(request->maxOutputTokens_, 80);
  EXPECT_EQ(request->lastEventId_, "12");
  EXPECT_EQ(request->resumedId_, "id-0");
  EXPECT_EQ(request->parts_,
            (std::vector<router::PromptPart>{
              { "5c", 800 }, { "91", 410 }, { "e4", 250 } }));
}

TEST(ForwardHeaders, DropsHopByHopAndRouterOnlyHeaders)
{
  const auto request = DecodeRequest("/",
                                     With({ { "Connection", "X-Hop, close" },
                                            { "X-Hop", "1" },
                                            { "Keep-Alive", "timeout=5" },
                                            { "TE", "trailers" },
                                            { "X-Hold", "forged" },
                                            { "X-Pin-Ms", "9" },
                                            { "X-Kv-Backup", "forged" },
                                            { "Kv-From", "forged" },
                                            { "Kv-Fetch", "forged" },
                                            { "X-Tenant", "forged" },
                                            { "X-Expect-Instance", "forged" },
                                            { "X-Request-Priority", "0" } }));
  ASSERT_TRUE(request.ok());
  EXPECT_EQ(request->headers_,
            (Headers{ { "Host", "Shop.example:80" },
                      { "X-Request-Id", "abc" },
                      { "X-Other", "kept" } }));
}

TEST(ForwardHeaders, RejectsAmbiguousFramingAndBadTokenCounts)
{
  const std::vector<Headers> cases = {
    { { "Content-Length", "4" }, { "Transfer-Encoding", "chunked" } },
    { { "Content-Length", "4" }, { "Content-Length", "5" } },
    { { "Transfer-Encoding", "chunked" }, { "Transfer-Encoding", "x" } },
    { { "Transfer-Encoding", "gzip, chunked" } },
    { { "Content-Length ", "4" } },
    { { "Host", "other.example" } },
    { { "X-Token-Count", "many" } },
    { { "X-Token-Count", "-4,5" } },
    { { "X-Token-Count", "4" } },
  };
  for (const auto& headers : cases) {
    EXPECT_EQ(model::KindOf(DecodeRequest("/", With(headers)).status()),
              model::ErrorKind::kMalformed)
      << headers[0].name_ << ": " << headers[0].value_;
  }
}

TEST(ForwardHeaders, LimitsTokenCountsSoThatSumsDoNotOverflow)
{
  const std::string huge = std::to_string(std::numeric_limits<int64_t>::max());
  const auto request =
    DecodeRequest("/",
                  With({ { "X-Token-Count", huge + "," + huge },
                         { "X-Prompt-Prefix", "a:" + huge + ",b:" + huge } }));
  ASSERT_TRUE(request.ok());
  EXPECT_EQ(request->promptTokens_, router::kMaxRequestTokens);
  EXPECT_EQ(request->maxOutputTokens_, router::kMaxRequestTokens);
  for (const auto& part : request->parts_) {
    EXPECT_EQ(part.tokens_, router::kMaxRequestTokens);
  }
}

TEST(ForwardHeaders, IgnoresMalformedPromptParts)
{
  for (const char* parts : { "x", "a:b", "a:1,b", ":" }) {
    const auto request =
      DecodeRequest("/", With({ { "X-Prompt-Prefix", parts } }));
    ASSERT_TRUE(request.ok());
    EXPECT_TRUE(request->parts_.empty()) << parts;
  }
}

TEST(ForwardHeaders, EncodesRouterHeadersForEndpoint)
{
  const auto request = DecodeRequest("/", kPlain);
  const auto headers = EncodeRequest(*request,
                                     { .endpoint_ = "i-1",
                                       .workspace_ = "w",
                                       .priority_ = 30,
                                       .deadlineMs_ = 900,
                                       .lastEventId_ = "4",
                                       .isGeneration_ = true });
  EXPECT_EQ(headers,
            (Headers{ { "Host", "Shop.example:80" },
                      { "X-Request-Id", "abc" },
                      { "X-Other", "kept" },
                      { "X-Deadline-Ms", "900" },
                      { "X-Expect-Instance", "i-1" },
                      { "X-Tenant", "w" },
                      { "X-Request-Priority", "9" },
                      { "Last-Event-Id", "4" } }));
  const auto plain = EncodeRequest(*request, { .endpoint_ = "i-1" });
  EXPECT_FALSE(Has(plain, "X-Tenant"));
  EXPECT_FALSE(Has(plain, "X-Request-Priority"));
  EXPECT_FALSE(Has(plain, "Last-Event-Id"));
}

TEST(ForwardHeaders, DecodesResponseHeads)
{
  const auto served = DecodeResponseHead(200,
                                         { { "X-Request-Id", "abc" },
                                           { "X-Response-Stamp", "s" },
                                           { "Content-Length", "3" },
                                           { "Connection", "close" } });
  EXPECT_FALSE(served.notRun_);
  EXPECT_EQ(served.requestId_, "abc");
  EXPECT_EQ(
    served.headers_,
    (Headers{ { "X-Request-Id", "abc" }, { "X-Response-Stamp", "s" } }));
  EXPECT_TRUE(DecodeResponseHead(503, { { "X-Not-Executed", "1" } }).notRun_);
  EXPECT_TRUE(DecodeResponseHead(421, {}).notRun_);
  // Without X-Not-Executed the request may have been executed in part, so an
  // error status does not make a retry safe.
  EXPECT_FALSE(DecodeResponseHead(503, {}).notRun_);
  EXPECT_FALSE(DecodeResponseHead(500, {}).notRun_);
}

struct SignalsCase
{
  int status_;
  Headers headers_;
  routing::ResponseSignals signals_;
};

class ResponseSignalsOfHead : public testing::TestWithParam<SignalsCase>
{};

TEST_P(ResponseSignalsOfHead, AreDecoded)
{
  const SignalsCase& example = GetParam();
  EXPECT_EQ(DecodeResponseHead(example.status_, example.headers_).signals_,
            example.signals_);
}

INSTANTIATE_TEST_SUITE_P(
  Leaving,
  ResponseSignalsOfHead,
  testing::Values(
    SignalsCase{ 200, {}, {} },
    SignalsCase{ 200, { { "Server-Leaving", "1" } }, { .leaving_ = true } },
    SignalsCase{ 503, { { "server-leaving", "1" } }, { .leaving_ = true } },
    SignalsCase{ 500, { { "Server-Leaving", "1" } }, { .leaving_ = true } },
    SignalsCase{ 200, { { "Server-Leaving", "0" } }, {} },
    SignalsCase{ 200, { { "Server-Leaving", "" } }, {} },
    SignalsCase{ 421, { { "Server-Leaving", "1" } }, {} }));

SignalsCase
RefusedWith(const char* aRetryAfter, int64_t aQuietMs)
{
  return { 503,
           { { "Retry-After", aRetryAfter } },
           { .backoffMs_ = aQuietMs } };
}

INSTANTIATE_TEST_SUITE_P(
  RetryAfter,
  ResponseSignalsOfHead,
  testing::Values(RefusedWith("2", 2'000),
                  RefusedWith("0.75", 750),
                  RefusedWith("1e1", 10'000),
                  RefusedWith("0", 0),
                  RefusedWith("", 0),
                  RefusedWith("-3", 0),
                  RefusedWith("soon", 0),
                  RefusedWith("1,5", 0),
                  RefusedWith("2 s", 0),
                  RefusedWith("nan", 0),
                  RefusedWith("inf", 0),
                  RefusedWith("Sun, 06 Dec 2026 08:00:00 GMT", 0),
                  RefusedWith("99999999999999999999", 86'400'000),
                  RefusedWith("1e300", 86'400'000),
                  SignalsCase{ 503, { { "X-Not-Executed", "1" } }, {} },
                  SignalsCase{ 429, { { "Retry-After", "2" } }, {} },
                  SignalsCase{ 421, { { "Retry-After", "2" } }, {} },
                  SignalsCase{ 200, { { "Retry-After", "2" } }, {} }));

} // namespace
} // namespace cactuswick::platform

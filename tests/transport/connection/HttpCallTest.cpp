#include "cactuswick/transport/connection/HttpCall.h"

#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "cactuswick/model/process/Error.h"
#include "cactuswick/model/process/Text.h"
#include "cactuswick/transport/connection/HttpPool.h"
#include "cactuswick/transport/connection/HttpServer.h"
#include "connection/CannedResponseServer.h"
#include "connection/EndlessServer.h"
#include "connection/LoopbackServer.h"

namespace cactuswick::transport {
namespace {

using model::Concat;
using model::ErrorKind;

constexpr uint16_t kPort = 18'951;
constexpr int64_t kTimeoutMs = 30'000;
/// Time in which a request that was destroyed would be sent.
constexpr int64_t kCancelledCallMs = 200;
/// Most time until a call with an endless response fails.
constexpr int64_t kMaxDurationMs = 5'000;
/// Most bytes that a call reads, plus socket buffers.
constexpr size_t kMaxSentBytes = size_t{ 6 } << 20;

const std::string kChunked =
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

struct CallResult
{
  absl::Status status_;
  int httpStatus_ = 0;
  int headCount_ = 0;
  Headers headers_;
  size_t dataBytes_ = 0;
  bool endsByClose_ = false;
  int64_t durationMs_ = 0;
};

CallResult
CallOnce(size_t aRequestBytes)
{
  EventLoop loop;
  CallResult result;
  std::unique_ptr<HttpCall> call;
  const int64_t start = EventLoop::NowMs();
  call = std::make_unique<HttpCall>(
    loop,
    HttpCallOptions{
      .address_ = { ProcessLoopbackHost(), kPort },
      .body_ = std::string(aRequestBytes, 'r'),
      .firstByteTimeoutMs_ = kTimeoutMs,
      .progressTimeoutMs_ = kTimeoutMs,
      .acceptsUnframed_ = true,
      .onHeaders_ =
        [&](int aStatus, const Headers& aHeaders) {
          ++result.headCount_;
          result.httpStatus_ = aStatus;
          result.headers_ = aHeaders;
        },
      .onData_ =
        [&](std::string_view aData) { result.dataBytes_ += aData.size(); },
      .onDone_ =
        [&](absl::Status aStatus) {
          result.status_ = std::move(aStatus);
          result.endsByClose_ = call->EndsByClose();
          result.durationMs_ = EventLoop::NowMs() - start;
          call.reset();
          loop.Defer([&] { loop.Stop(); });
        } });
  loop.Run();
  return result;
}

TEST(HttpCall, SendsNothingAfterItWasDestroyed)
{
  ssize_t received = 0;
  {
    LoopbackServer server(kPort, [&](int aHandle) {
      char request[1'024];
      received = recv(aHandle, request, sizeof(request), 0);
    });
    EventLoop loop;
    auto call = std::make_unique<HttpCall>(
      loop,
      HttpCallOptions{ .address_ = { ProcessLoopbackHost(), kPort },
                       .body_ = std::string("x") });
    Timer stop(loop, [&] { loop.Stop(); });
    stop.StartOnce(kCancelledCallMs);
    // Runs before the loop handles the connection, which is established.
    loop.Defer([&] {
      EXPECT_FALSE(call->WasDispatched());
      call.reset();
    });
    loop.Run();
  }
  EXPECT_LE(received, 0);
}

struct EndlessCase
{
  std::string name_;
  std::string begin_;
  std::string repeat_;
  /// A request larger than the socket buffers is never sent completely.
  size_t requestBytes_ = 0;
  ErrorKind error_ = ErrorKind::kTooLarge;
};

std::ostream&
operator<<(std::ostream& aStream, const EndlessCase& aCase)
{
  return aStream << aCase.name_;
}

class HttpCallEndless : public testing::TestWithParam<EndlessCase>
{};

TEST_P(HttpCallEndless, FailsPromptly)
{
  const EndlessCase& example = GetParam();
  EndlessServer server(kPort, example.begin_, example.repeat_);
  const CallResult result = CallOnce(example.requestBytes_);
  EXPECT_EQ(model::KindOf(result.status_), example.error_) << result.status_;
  EXPECT_LT(result.durationMs_, kMaxDurationMs);
  EXPECT_LT(server.SentBytes(), kMaxSentBytes);
  EXPECT_EQ(result.dataBytes_, 0U);
}

INSTANTIATE_TEST_SUITE_P(
  Answers,
  HttpCallEndless,
  testing::Values(
    EndlessCase{ "StatusLine", "HTTP/1.1 200 ", "a" },
    EndlessCase{ "HeaderLine", "HTTP/1.1 200 OK\r\nX-A: ", "a" },
    EndlessCase{ "Headers", "HTTP/1.1 200 OK\r\n", "X-A: a\r\n" },
    EndlessCase{ "InterimAnswers", "", "HTTP/1.1 100 Continue\r\n\r\n" },
    EndlessCase{ "InterimAnswersWithHeaders",
                 "",
                 "HTTP/1.1 100 Continue\r\nX-A: a\r\n\r\n" },
    EndlessCase{ "ChunkSizeLine", kChunked, "0" },
    EndlessCase{ "ChunkExtension", kChunked + "1;", "a" },
    // The first blank line in the place of a size is malformed.
    EndlessCase{ "LinesForAChunkSize",
                 kChunked,
                 "\r\n",
                 0,
                 ErrorKind::kUpstreamFailed },
    EndlessCase{ "Chunk", kChunked + "3000000\r\n", "a" },
    EndlessCase{ "TrailerLine", kChunked + "0\r\nX-A: ", "a" },
    EndlessCase{ "Trailers", kChunked + "0\r\n", "X-A: a\r\n" },
    EndlessCase{ "BytesWhileTheRequestIsNotTaken",
                 "HTTP/1.1 200 OK\r\nContent-Length: 60000000\r\n\r\n",
                 "a",
                 EndlessServer::kCapBytes }),
  [](const auto& aInfo) { return aInfo.param.name_; });

TEST(HttpCall, InterimHeadersAreExcluded)
{
  EndlessServer server(kPort,
                       "HTTP/1.1 100 Continue\r\nX-A: interim\r\n\r\n"
                       "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n",
                       "a");
  const CallResult result = CallOnce(0);
  EXPECT_TRUE(result.status_.ok()) << result.status_;
  EXPECT_EQ(result.headCount_, 1);
  EXPECT_EQ(result.httpStatus_, 200);
  EXPECT_EQ(result.headers_.size(), 1U);
  EXPECT_EQ(result.dataBytes_, 4U);
}

TEST(HttpCall, AnyInterimStatusIsSkipped)
{
  for (const char* interim : { "102 Processing", "103 Early Hints", "199 X" }) {
    CannedResponseServer server(
      kPort,
      Concat("HTTP/1.1 ",
             interim,
             "\r\nX-A: interim\r\n\r\n"
             "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\naaaa"),
      false);
    const CallResult result = CallOnce(0);
    EXPECT_TRUE(result.status_.ok()) << interim << result.status_;
    EXPECT_EQ(result.headCount_, 1) << interim;
    EXPECT_EQ(result.httpStatus_, 200) << interim;
    EXPECT_EQ(result.headers_.size(), 1U) << interim;
    EXPECT_EQ(result.dataBytes_, 4U) << interim;
  }
}

TEST(HttpCall, UnrequestedProtocolSwitchFails)
{
  CannedResponseServer server(
    kPort,
    "HTTP/1.1 101 Switching Protocols\r\n\r\n"
    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\naaaa",
    false);
  const CallResult result = CallOnce(0);
  EXPECT_EQ(model::KindOf(result.status_), ErrorKind::kUpstreamFailed);
  EXPECT_EQ(result.headCount_, 0);
}

/// Sends a text in response to a request, then closes or resets the connection.
class BreakingServer
{
public:
  BreakingServer(std::string aText, bool aResets)
    : server_(kPort, [text = std::move(aText), aResets](int aHandle) {
      char request[1'024];
      recv(aHandle, request, sizeof(request), 0);
      send(aHandle, text.data(), text.size(), MSG_NOSIGNAL);
      if (aResets) {
        constexpr linger kReset{ .l_onoff = 1, .l_linger = 0 };
        setsockopt(aHandle, SOL_SOCKET, SO_LINGER, &kReset, sizeof(kReset));
      }
    })
  {
  }

private:
  LoopbackServer server_;
};

class HttpCallCutHead : public testing::TestWithParam<std::string>
{};

// Guards against MIXED: an endpoint that stops in the middle of its response's
// head and closes must not look like one with an empty or short body.
TEST_P(HttpCallCutHead, IsNeverAResponse)
{
  const std::string& response = GetParam();
  const size_t headBytes = response.rfind("\r\n\r\n") + 4;
  for (size_t cut = 0; cut < headBytes; ++cut) {
    for (const bool resets : { false, true }) {
      BreakingServer server(response.substr(0, cut), resets);
      const CallResult result = CallOnce(0);
      EXPECT_EQ(model::KindOf(result.status_), ErrorKind::kUpstreamFailed)
        << "cut at " << cut;
      EXPECT_EQ(result.headCount_, 0) << "cut at " << cut;
      EXPECT_EQ(result.dataBytes_, 0U) << "cut at " << cut;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(
  Responses,
  HttpCallCutHead,
  testing::Values(
    "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 12\r\n\r\n",
    "HTTP/1.1 200 OK\r\nX-A: b\r\nTransfer-Encoding: chunked\r\n\r\n",
    "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n",
    "HTTP/1.0 200\r\nConnection: close\r\n\r\n",
    "HTTP/1.1 103 Hints\r\nX-A: b\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"));

TEST(HttpCall, EndsByCloseWithoutLengthOrChunks)
{
  constexpr std::string_view kHead = "HTTP/1.1 200 OK\r\n";
  for (const auto& [headers, endsByClose] :
       { std::pair{ "", true },
         std::pair{ "Transfer-Encoding: identity\r\n", true },
         std::pair{ "Transfer-Encoding: Chunked\r\n", false },
         std::pair{ "Content-Length: 14\r\n", false } }) {
    CannedResponseServer server(
      kPort, Concat(kHead, headers, "\r\n", "4\r\naaaa\r\n0\r\n\r\n"), true);
    const CallResult result = CallOnce(0);
    EXPECT_TRUE(result.status_.ok()) << headers << result.status_;
    EXPECT_EQ(result.endsByClose_, endsByClose) << headers;
  }
}

TEST(HttpCall, UnsupportedTransferCodingFails)
{
  for (const char* coding : { "gzip", "gzip, chunked", "other" }) {
    CannedResponseServer server(kPort,
                                Concat("HTTP/1.1 200 OK\r\nTransfer-Encoding: ",
                                       coding,
                                       "\r\n\r\n4\r\naaaa\r\n0\r\n\r\n"),
                                true);
    const CallResult result = CallOnce(0);
    EXPECT_EQ(model::KindOf(result.status_), ErrorKind::kUpstreamFailed)
      << coding;
    EXPECT_EQ(result.headCount_, 0) << coding;
  }
}

// Guards against MIXED: a response whose end parsers see in different places
// was taken as whole, with a part of it or with bytes that belong to none.
TEST(HttpCall, ResponseWithAnAmbiguousEndFails)
{
  for (const char* response :
       { "Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
         "Content-Length: +2\r\n\r\nab",
         "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
         "Transfer-Encoding: chunked\r\n\r\n0x2\r\nab\r\n0\r\n\r\n",
         "Transfer-Encoding: chunked\r\n\r\n+2\r\nab\r\n0\r\n\r\n",
         "Transfer-Encoding: chunked\r\n\r\n2\r\nab0\r\n\r\n" }) {
    CannedResponseServer server(
      kPort, Concat("HTTP/1.1 200 OK\r\n", response), true);
    const CallResult result = CallOnce(0);
    EXPECT_EQ(model::KindOf(result.status_), ErrorKind::kUpstreamFailed)
      << response;
  }
}

/// Sends two responses on one connection, one for each request.
class TwoResponseServer
{
public:
  TwoResponseServer(std::string aFirst, std::string aSecond)
    : server_(
        kPort,
        [first = std::move(aFirst), second = std::move(aSecond)](int aHandle) {
          char request[1'024];
          recv(aHandle, request, sizeof(request), 0);
          send(aHandle, first.data(), first.size(), MSG_NOSIGNAL);
          recv(aHandle, request, sizeof(request), 0);
          send(aHandle, second.data(), second.size(), MSG_NOSIGNAL);
          shutdown(aHandle, SHUT_WR);
          while (recv(aHandle, request, sizeof(request), 0) > 0) {
          }
        })
  {
  }

private:
  LoopbackServer server_;
};

struct SkippedResponse
{
  absl::Status status_;
  std::string data_;
  int skipped_ = 0;
  bool isPooled_ = false;
};

std::string
ResponseOf(std::string_view aId, std::string_view aBody)
{
  return Concat("HTTP/1.1 200 OK\r\nX-Id: ",
                aId,
                "\r\nContent-Length: ",
                aBody.size(),
                "\r\n\r\n",
                aBody);
}

/// Makes two calls on one connection that skip responses with the id "first".
/// The first call opens the connection, so that it does not skip its own.
SkippedResponse
CallTwice(const std::string& aSecondResponse)
{
  const Address address{ ProcessLoopbackHost(), kPort };
  TwoResponseServer server(ResponseOf("first", "one"), aSecondResponse);
  EventLoop loop;
  HttpPool pool(loop);
  SkippedResponse result;
  for (int number = 0; number < 2; ++number) {
    result.data_.clear();
    std::unique_ptr<HttpCall> call;
    call = std::make_unique<HttpCall>(
      loop,
      HttpCallOptions{
        .address_ = address,
        .path_ = "/",
        .firstByteTimeoutMs_ = kTimeoutMs,
        .pool_ = &pool,
        .skips_ =
          [&](int, const Headers& aHeaders) {
            const bool skips = aHeaders.front().value_ == "first";
            result.skipped_ += skips ? 1 : 0;
            return skips;
          },
        .onData_ = [&](std::string_view aData) { result.data_ += aData; },
        .onDone_ =
          [&](absl::Status aStatus) {
            result.status_ = std::move(aStatus);
            call.reset();
            loop.Defer([&] { loop.Stop(); });
          } });
    loop.Run();
  }
  result.isPooled_ = pool.Take(address) != nullptr;
  return result;
}

// Guards against answers lost by a late copy: the response that follows it on
// the connection is the awaited one.
TEST(HttpCall, ResponseToAnotherRequestIsSkipped)
{
  const std::string copy = ResponseOf("first", "one");
  for (const std::string& before : { copy, copy + copy }) {
    const SkippedResponse result =
      CallTwice(before + ResponseOf("second", "two"));
    EXPECT_TRUE(result.status_.ok()) << result.status_;
    EXPECT_EQ(result.data_, "two");
    EXPECT_EQ(result.skipped_, before == copy ? 1 : 2);
    EXPECT_FALSE(result.isPooled_);
  }
}

TEST(HttpCall, SkippingEndsWithTheConnection)
{
  const std::string copy = ResponseOf("first", "one");
  for (const std::string& response : { copy, copy.substr(0, 60) }) {
    const SkippedResponse result = CallTwice(response);
    EXPECT_EQ(model::KindOf(result.status_), ErrorKind::kUpstreamFailed);
    EXPECT_EQ(result.data_, "");
  }
}

TEST(HttpCall, SkippedBytesAreLimited)
{
  const SkippedResponse result =
    CallTwice(ResponseOf("first", std::string(size_t{ 300 } << 10, 'x')) +
              ResponseOf("second", "two"));
  EXPECT_EQ(model::KindOf(result.status_), ErrorKind::kTooLarge);
  EXPECT_FALSE(result.isPooled_);
}

TEST(HttpCall, LargeCompleteChunkIsDelivered)
{
  constexpr size_t kChunkBytes = size_t{ 0xe0000 };
  EndlessServer server(kPort,
                       kChunked + "e0000\r\n" + std::string(kChunkBytes, 'a') +
                         "\r\n0\r\n\r\n",
                       "a");
  const CallResult result = CallOnce(0);
  EXPECT_TRUE(result.status_.ok()) << result.status_;
  EXPECT_EQ(result.dataBytes_, kChunkBytes);
}

TEST(HttpCall, ConnectionOfAbandonedCallIsNotReused)
{
  constexpr int64_t kSettleMs = 100;
  const Address address{ ProcessLoopbackHost(), kPort };
  for (const bool abandons : { false, true }) {
    CannedResponseServer server(
      kPort, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", false);
    EventLoop loop;
    HttpPool pool(loop);
    Timer end(loop, [&] { loop.Stop(); });
    std::unique_ptr<HttpCall> call = std::make_unique<HttpCall>(
      loop,
      HttpCallOptions{ .address_ = address,
                       .firstByteTimeoutMs_ = kTimeoutMs,
                       .progressTimeoutMs_ = kTimeoutMs,
                       .pool_ = &pool,
                       .onHeaders_ = [&](int, const Headers&) {
                         end.StartOnce(kSettleMs);
                         if (abandons) {
                           call.reset();
                         }
                       } });
    loop.Run();
    EXPECT_EQ(pool.Take(address) == nullptr, abandons);
  }
}

TEST(HttpCall, NewConnectionLeavesThePooledOne)
{
  const Address address{ ProcessLoopbackHost(), kPort };
  for (const bool opensNew : { false, true }) {
    EventLoop loop;
    HttpPool pool(loop);
    HttpServer server(loop, { .onRequest_ = [](auto aExchange) {
                        aExchange->Reply(200, {}, "x");
                      } });
    ASSERT_TRUE(server.Listen(address).ok());
    const auto call = [&](bool aOpensNew) {
      HttpCall one(loop,
                   { .address_ = address,
                     .path_ = "/",
                     .pool_ = &pool,
                     .opensNewConnection_ = aOpensNew,
                     .onDone_ = [&](const absl::Status& aStatus) {
                       EXPECT_TRUE(aStatus.ok()) << aStatus;
                       loop.Stop();
                     } });
      loop.Run();
    };
    call(false);
    call(opensNew);
    const HttpConnectionPointer first = pool.Take(address);
    EXPECT_NE(first, nullptr);
    EXPECT_EQ(pool.Take(address) != nullptr, opensNew);
  }
}

struct BackpressureCase
{
  std::string name_;
  std::string begin_;
  std::string repeat_;
};

class HttpCallBackpressure : public testing::TestWithParam<BackpressureCase>
{};

TEST_P(HttpCallBackpressure, StopsReadingWhenPausedInDataCallback)
{
  constexpr int64_t kObserveMs = 400;
  constexpr size_t kMaxBytesAfterPause = size_t{ 64 } << 10;
  EndlessServer server(kPort, GetParam().begin_, GetParam().repeat_);
  EventLoop loop;
  size_t bytes = 0;
  std::unique_ptr<HttpCall> call;
  call = std::make_unique<HttpCall>(
    loop,
    HttpCallOptions{ .address_ = { ProcessLoopbackHost(), kPort },
                     .acceptsUnframed_ = true,
                     .onData_ =
                       [&](std::string_view aData) {
                         bytes += aData.size();
                         call->SetReading(false);
                       },
                     .onDone_ = [](const absl::Status&) {} });
  Timer watch(loop, [&] { loop.Stop(); });
  watch.StartOnce(kObserveMs);
  loop.Run();
  EXPECT_GT(bytes, 0U);
  EXPECT_LT(bytes, kMaxBytesAfterPause);
  call->SetReading(true);
  const size_t before = bytes;
  watch.StartOnce(kObserveMs);
  loop.Run();
  EXPECT_GT(bytes, before);
  call.reset();
  loop.Defer([&] { loop.Stop(); });
  loop.Run();
}

INSTANTIATE_TEST_SUITE_P(
  Answers,
  HttpCallBackpressure,
  testing::Values(
    BackpressureCase{ "Chunks", kChunked, "4\r\naaaa\r\n" },
    BackpressureCase{ "Unframed", "HTTP/1.1 200 OK\r\n\r\n", "a" },
    BackpressureCase{ "WithLength",
                      "HTTP/1.1 200 OK\r\nContent-Length: 60000000\r\n\r\n",
                      "a" }),
  [](const auto& aInfo) { return aInfo.param.name_; });

} // namespace
} // namespace cactuswick::transport

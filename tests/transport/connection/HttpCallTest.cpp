#include "cactuswick/transport/connection/HttpCall.h"

#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "cactuswick/model/process/Error.h"
#include "cactuswick/model/process/Text.h"
#include "connection/AnswerServer.h"
#include "connection/EndlessServer.h"

namespace cactuswick::transport {
namespace {

using model::Concat;
using model::ErrorKind;

constexpr uint16_t kPort = 18'951;
constexpr int64_t kTimeoutMs = 30'000;
/// Most time until an endless answer is given up.
constexpr int64_t kSoonMs = 5'000;
/// Most bytes that a call reads, with what the system holds for it.
constexpr size_t kMostSentBytes = size_t{ 6 } << 20;

const std::string kChunked =
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

struct CallEnd
{
  absl::Status status_;
  int httpStatus_ = 0;
  int heads_ = 0;
  Headers headers_;
  size_t dataBytes_ = 0;
  bool endsByClose_ = false;
  int64_t tookMs_ = 0;
};

CallEnd
CallOnce(size_t aRequestBytes)
{
  EventLoop loop;
  CallEnd end;
  std::unique_ptr<HttpCall> call;
  const int64_t start = EventLoop::NowMs();
  call = std::make_unique<HttpCall>(
    loop,
    HttpCallOptions{
      .address_ = { OwnHost(), kPort },
      .body_ = std::string(aRequestBytes, 'r'),
      .firstByteTimeoutMs_ = kTimeoutMs,
      .progressTimeoutMs_ = kTimeoutMs,
      .acceptsUnframed_ = true,
      .onHeaders_ =
        [&](int aStatus, const Headers& aHeaders) {
          ++end.heads_;
          end.httpStatus_ = aStatus;
          end.headers_ = aHeaders;
        },
      .onData_ =
        [&](std::string_view aData) { end.dataBytes_ += aData.size(); },
      .onDone_ =
        [&](absl::Status aStatus) {
          end.status_ = std::move(aStatus);
          end.endsByClose_ = call->EndsByClose();
          end.tookMs_ = EventLoop::NowMs() - start;
          call.reset();
          loop.Defer([&] { loop.Stop(); });
        } });
  loop.Run();
  return end;
}

struct EndlessCase
{
  std::string name_;
  std::string begin_;
  std::string repeat_;
  /// A request that does not fit into the sockets is never sent whole.
  size_t requestBytes_ = 0;
};

std::ostream&
operator<<(std::ostream& aStream, const EndlessCase& aCase)
{
  return aStream << aCase.name_;
}

class HttpCallEndless : public testing::TestWithParam<EndlessCase>
{};

TEST_P(HttpCallEndless, EndsTheCallSoonAndWithATypedError)
{
  const EndlessCase& example = GetParam();
  EndlessServer server(kPort, example.begin_, example.repeat_);
  const CallEnd end = CallOnce(example.requestBytes_);
  EXPECT_EQ(model::KindOf(end.status_), ErrorKind::kTooLarge) << end.status_;
  EXPECT_LT(end.tookMs_, kSoonMs);
  EXPECT_LT(server.SentBytes(), kMostSentBytes);
  EXPECT_EQ(end.dataBytes_, 0U);
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
    EndlessCase{ "LinesForAChunkSize", kChunked, "\r\n" },
    EndlessCase{ "Chunk", kChunked + "3000000\r\n", "a" },
    EndlessCase{ "TrailerLine", kChunked + "0\r\nX-A: ", "a" },
    EndlessCase{ "Trailers", kChunked + "0\r\n", "X-A: a\r\n" },
    EndlessCase{ "BytesWhileTheRequestIsNotTaken",
                 "HTTP/1.1 200 OK\r\nContent-Length: 60000000\r\n\r\n",
                 "a",
                 EndlessServer::kCapBytes }),
  [](const auto& aInfo) { return aInfo.param.name_; });

TEST(HttpCall, AnInterimAnswerIsNoPartOfTheAnswer)
{
  EndlessServer server(kPort,
                       "HTTP/1.1 100 Continue\r\nX-A: interim\r\n\r\n"
                       "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n",
                       "a");
  const CallEnd end = CallOnce(0);
  EXPECT_TRUE(end.status_.ok()) << end.status_;
  EXPECT_EQ(end.heads_, 1);
  EXPECT_EQ(end.httpStatus_, 200);
  EXPECT_EQ(end.headers_.size(), 1U);
  EXPECT_EQ(end.dataBytes_, 4U);
}

TEST(HttpCall, AnInterimAnswerOfAnyKindIsNotTheAnswer)
{
  for (const char* interim : { "102 Processing", "103 Early Hints", "199 X" }) {
    AnswerServer server(
      kPort,
      Concat("HTTP/1.1 ",
             interim,
             "\r\nX-A: interim\r\n\r\n"
             "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\naaaa"),
      false);
    const CallEnd end = CallOnce(0);
    EXPECT_TRUE(end.status_.ok()) << interim << end.status_;
    EXPECT_EQ(end.heads_, 1) << interim;
    EXPECT_EQ(end.httpStatus_, 200) << interim;
    EXPECT_EQ(end.headers_.size(), 1U) << interim;
    EXPECT_EQ(end.dataBytes_, 4U) << interim;
  }
}

TEST(HttpCall, ASwitchOfProtocolsThatNobodyAskedForIsNoAnswer)
{
  AnswerServer server(kPort,
                      "HTTP/1.1 101 Switching Protocols\r\n\r\n"
                      "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\naaaa",
                      false);
  const CallEnd end = CallOnce(0);
  EXPECT_EQ(model::KindOf(end.status_), ErrorKind::kUpstreamFailed);
  EXPECT_EQ(end.heads_, 0);
}

TEST(HttpCall, OnlyALengthOrChunksSayWhereAnAnswerEnds)
{
  constexpr std::string_view kHead = "HTTP/1.1 200 OK\r\n";
  for (const auto& [headers, endsByClose] :
       { std::pair{ "", true },
         std::pair{ "Transfer-Encoding: identity\r\n", true },
         std::pair{ "Transfer-Encoding: Chunked\r\n", false },
         std::pair{ "Content-Length: 14\r\n", false } }) {
    AnswerServer server(
      kPort, Concat(kHead, headers, "\r\n", "4\r\naaaa\r\n0\r\n\r\n"), true);
    const CallEnd end = CallOnce(0);
    EXPECT_TRUE(end.status_.ok()) << headers << end.status_;
    EXPECT_EQ(end.endsByClose_, endsByClose) << headers;
  }
}

TEST(HttpCall, AnAnswerInACodingThatCannotBeUndoneIsNone)
{
  for (const char* coding : { "gzip", "gzip, chunked", "other" }) {
    AnswerServer server(kPort,
                        Concat("HTTP/1.1 200 OK\r\nTransfer-Encoding: ",
                               coding,
                               "\r\n\r\n4\r\naaaa\r\n0\r\n\r\n"),
                        true);
    const CallEnd end = CallOnce(0);
    EXPECT_EQ(model::KindOf(end.status_), ErrorKind::kUpstreamFailed) << coding;
    EXPECT_EQ(end.heads_, 0) << coding;
  }
}

TEST(HttpCall, AChunkThatIsLargeButEndsIsTaken)
{
  constexpr size_t kChunkBytes = size_t{ 0xe0000 };
  EndlessServer server(kPort,
                       kChunked + "e0000\r\n" + std::string(kChunkBytes, 'a') +
                         "\r\n0\r\n\r\n",
                       "a");
  const CallEnd end = CallOnce(0);
  EXPECT_TRUE(end.status_.ok()) << end.status_;
  EXPECT_EQ(end.dataBytes_, kChunkBytes);
}

struct SlowTakerCase
{
  std::string name_;
  std::string begin_;
  std::string repeat_;
};

class HttpCallSlowTaker : public testing::TestWithParam<SlowTakerCase>
{};

TEST_P(HttpCallSlowTaker, ReadsNoMoreWhenToldInTheMiddleOfData)
{
  constexpr int64_t kWatchMs = 400;
  constexpr size_t kMostAfterBytes = size_t{ 64 } << 10;
  EndlessServer server(kPort, GetParam().begin_, GetParam().repeat_);
  EventLoop loop;
  size_t bytes = 0;
  std::unique_ptr<HttpCall> call;
  call = std::make_unique<HttpCall>(
    loop,
    HttpCallOptions{ .address_ = { OwnHost(), kPort },
                     .acceptsUnframed_ = true,
                     .onData_ =
                       [&](std::string_view aData) {
                         bytes += aData.size();
                         call->SetReading(false);
                       },
                     .onDone_ = [](const absl::Status&) {} });
  Timer watch(loop, [&] { loop.Stop(); });
  watch.StartOnce(kWatchMs);
  loop.Run();
  EXPECT_GT(bytes, 0U);
  EXPECT_LT(bytes, kMostAfterBytes);
  call->SetReading(true);
  const size_t before = bytes;
  watch.StartOnce(kWatchMs);
  loop.Run();
  EXPECT_GT(bytes, before);
  call.reset();
  loop.Defer([&] { loop.Stop(); });
  loop.Run();
}

INSTANTIATE_TEST_SUITE_P(
  Answers,
  HttpCallSlowTaker,
  testing::Values(SlowTakerCase{ "Chunks", kChunked, "4\r\naaaa\r\n" },
                  SlowTakerCase{ "Unframed", "HTTP/1.1 200 OK\r\n\r\n", "a" },
                  SlowTakerCase{
                    "WithLength",
                    "HTTP/1.1 200 OK\r\nContent-Length: 60000000\r\n\r\n",
                    "a" }),
  [](const auto& aInfo) { return aInfo.param.name_; });

} // namespace
} // namespace cactuswick::transport

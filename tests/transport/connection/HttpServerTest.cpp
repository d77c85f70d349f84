#include "cactuswick/transport/connection/HttpServer.h"

#include <chrono>
#include <memory>
#include <ostream>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "connection/EndlessCaller.h"

namespace cactuswick::transport {
namespace {

constexpr uint16_t kPort = 18'941;
constexpr int64_t kIdleMs = 300;
constexpr int64_t kPollMs = 10;
constexpr std::string_view kServed = "served";

const std::string kChunked =
  "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

TEST(HttpServer, IdleTimeoutIsTakenAtAccept)
{
  EventLoop loop;
  HttpServer server(loop, { .limits_ = { .idleTimeoutMs_ = 60'000 } });
  ASSERT_TRUE(server.Listen({ ProcessLoopbackHost(), kPort }).ok());
  server.SetLimits({ .idleTimeoutMs_ = kIdleMs });
  const int handle = ConnectTo(kPort);
  const int64_t start = EventLoop::NowMs();
  int64_t closedAfterMs = 0;
  Timer poll(loop, [&] {
    char byte = 0;
    closedAfterMs = EventLoop::NowMs() - start;
    if (recv(handle, &byte, 1, MSG_DONTWAIT) == 0 ||
        closedAfterMs > 10 * kIdleMs) {
      loop.Stop();
    }
  });
  poll.StartRepeating(kPollMs);
  loop.Run();
  close(handle);
  EXPECT_GE(closedAfterMs, kIdleMs - kPollMs);
  EXPECT_LT(closedAfterMs, 5 * kIdleMs);
}

TEST(HttpServer, CountsCallerTraffic)
{
  constexpr std::string_view kRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  EventLoop loop;
  HttpServer server(loop, { .onRequest_ = [](auto aExchange) {
                      aExchange->Reply(200, {}, kServed);
                    } });
  ASSERT_TRUE(server.Listen({ ProcessLoopbackHost(), kPort }).ok());
  Waker done(loop, [&] { loop.Stop(); });
  std::thread caller([&] {
    const int handle = ConnectTo(kPort);
    EXPECT_TRUE(SendRequest(handle, kRequest, kServed));
    close(handle);
    done.Wake();
  });
  loop.Run();
  caller.join();
  const TrafficCount& callers = loop.TrafficCounters().CountOf(Remote::kCaller);
  EXPECT_EQ(callers.readBytes_, static_cast<int64_t>(kRequest.size()));
  EXPECT_GT(callers.writtenBytes_, static_cast<int64_t>(kServed.size()));
  EXPECT_EQ(loop.TrafficCounters().CountOf(Remote::kEndpoint), TrafficCount{});
}

TEST(HttpServer, NothingIsReadBehindTheLastReply)
{
  constexpr std::string_view kRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  constexpr int64_t kQuietMs = 100;
  EventLoop loop;
  int requests = 0;
  HttpServer server(loop, { .onRequest_ = [&](auto aExchange) {
                      ++requests;
                      aExchange->Reply(200, {}, kServed);
                      server.StopReading();
                    } });
  ASSERT_TRUE(server.Listen({ ProcessLoopbackHost(), kPort }).ok());
  Waker done(loop, [&] { loop.Stop(); });
  std::thread caller([&] {
    const int kept = ConnectTo(kPort);
    const int first = ConnectTo(kPort);
    EXPECT_TRUE(SendRequest(first, kRequest, kServed));
    send(kept, kRequest.data(), kRequest.size(), MSG_NOSIGNAL);
    std::this_thread::sleep_for(std::chrono::milliseconds(kQuietMs));
    done.Wake();
    close(first);
    close(kept);
  });
  loop.Run();
  caller.join();
  EXPECT_EQ(requests, 1);
}

TEST(HttpServer, NextRequestOfARepliedConnectionIsNotReadAfterStopReading)
{
  constexpr std::string_view kRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  constexpr int64_t kQuietMs = 100;
  EventLoop loop;
  int requests = 0;
  HttpServer server(loop, { .onRequest_ = [&](auto aExchange) {
                      ++requests;
                      aExchange->Reply(200, {}, kServed);
                      server.StopReading();
                    } });
  ASSERT_TRUE(server.Listen({ ProcessLoopbackHost(), kPort }).ok());
  Waker done(loop, [&] { loop.Stop(); });
  std::thread caller([&] {
    const int first = ConnectTo(kPort);
    EXPECT_TRUE(SendRequest(first, kRequest, kServed));
    send(first, kRequest.data(), kRequest.size(), MSG_NOSIGNAL);
    std::this_thread::sleep_for(std::chrono::milliseconds(kQuietMs));
    done.Wake();
    close(first);
  });
  loop.Run();
  caller.join();
  EXPECT_EQ(requests, 1);
}

class HttpServerEndless : public testing::TestWithParam<EndlessCase>
{};

TEST_P(HttpServerEndless, LimitsBytesReadFromConnection)
{
  constexpr size_t kCapBytes = size_t{ 16 } << 20;
  // The limits of head and body, plus socket buffers.
  constexpr size_t kMaxReadBytes = size_t{ 8 } << 20;
  EventLoop loop;
  std::vector<std::unique_ptr<HttpExchange>> exchanges;
  HttpServer server(loop, { .onRequest_ = [&](auto aExchange) {
                      aExchange->StartStream(200, {});
                      aExchange->SendChunk("begun");
                      exchanges.push_back(std::move(aExchange));
                    } });
  ASSERT_TRUE(server.Listen({ ProcessLoopbackHost(), kPort }).ok());
  EXPECT_LT(SendEndlesslyTo(loop, kPort, GetParam(), kCapBytes), kMaxReadBytes);
}

TEST(HttpServer, AcceptsBodyOfMaximumSize)
{
  const HttpLimits limits;
  EventLoop loop;
  size_t bodyBytes = 0;
  HttpServer server(loop,
                    { .limits_ = limits, .onRequest_ = [&](auto aExchange) {
                       bodyBytes = aExchange->Body().size();
                       loop.Stop();
                     } });
  ASSERT_TRUE(server.Listen({ ProcessLoopbackHost(), kPort }).ok());
  const EndlessCase request{ "Largest",
                             "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                               std::to_string(limits.maxBodyBytes_) +
                               "\r\n\r\n",
                             "a" };
  std::thread caller(
    [&] { SendEndlessly(kPort, request, limits.maxBodyBytes_); });
  Timer timeout(loop, [&] { loop.Stop(); });
  timeout.StartOnce(10'000);
  loop.Run();
  caller.join();
  EXPECT_EQ(bodyBytes, limits.maxBodyBytes_);
}

/// Returns a request whose body is sent in chunks of one byte each.
std::string
OneByteChunks(size_t aBodyBytes)
{
  std::string request = kChunked;
  for (size_t number = 0; number < aBodyBytes; ++number) {
    request += "1\r\na\r\n";
  }
  return request + "0\r\n\r\n";
}

/// Consecutive requests of one body size on one connection.
struct ValidRequestCase
{
  std::string name_;
  size_t requests_;
  size_t bodyBytes_;
};

std::ostream&
operator<<(std::ostream& aStream, const ValidRequestCase& aCase)
{
  return aStream << aCase.name_;
}

class HttpServerValidRequests : public testing::TestWithParam<ValidRequestCase>
{};

TEST_P(HttpServerValidRequests, ServesEveryRequestCompletely)
{
  const auto& [name, requests, bodyBytes] = GetParam();
  EventLoop loop;
  std::vector<size_t> served;
  HttpServer server(loop,
                    { .limits_ = { .maxBodyBytes_ = bodyBytes },
                      .onRequest_ = [&](auto aExchange) {
                        served.push_back(aExchange->Body().size());
                        aExchange->Reply(200, {}, kServed);
                      } });
  ASSERT_TRUE(server.Listen({ ProcessLoopbackHost(), kPort }).ok());
  size_t responses = 0;
  Waker done(loop, [&] { loop.Stop(); });
  std::thread caller([&] {
    const int handle = ConnectTo(kPort);
    const std::string request = OneByteChunks(bodyBytes);
    while (responses < requests && SendRequest(handle, request, kServed)) {
      ++responses;
    }
    close(handle);
    done.Wake();
  });
  loop.Run();
  caller.join();
  EXPECT_EQ(responses, requests);
  EXPECT_EQ(served, std::vector<size_t>(requests, bodyBytes));
}

INSTANTIATE_TEST_SUITE_P(
  InChunksOfOneByte,
  HttpServerValidRequests,
  testing::Values(
    ValidRequestCase{ "LargestBody", 1, HttpLimits{}.maxBodyBytes_ },
    ValidRequestCase{ "ManyOnOneConnection", 30, size_t{ 64 } << 10 }),
  [](const auto& aInfo) { return aInfo.param.name_; });

INSTANTIATE_TEST_SUITE_P(
  Requests,
  HttpServerEndless,
  testing::Values(EndlessCase{ "RequestLine", "GET /", "a" },
                  EndlessCase{ "HeaderLine", "GET / HTTP/1.1\r\nX-A: ", "a" },
                  EndlessCase{ "Headers", "GET / HTTP/1.1\r\n", "X-A: a\r\n" },
                  EndlessCase{ "ChunkSizeLine", kChunked, "0" },
                  EndlessCase{ "LinesForAChunkSize", kChunked, "\r\n" },
                  EndlessCase{ "Chunks", kChunked, "4\r\naaaa\r\n" },
                  EndlessCase{ "Chunk", kChunked + "3000000\r\n", "a" },
                  EndlessCase{ "TrailerLine", kChunked + "0\r\nX-A: ", "a" },
                  EndlessCase{ "Trailers", kChunked + "0\r\n", "X-A: a\r\n" },
                  EndlessCase{ "BytesBehindARequest",
                               "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
                               "a" }),
  [](const auto& aInfo) { return aInfo.param.name_; });

} // namespace
} // namespace cactuswick::transport

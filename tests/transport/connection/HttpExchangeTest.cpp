#include <gtest/gtest.h>

#include "cactuswick/transport/connection/HttpServer.h"

#include "connection/LoopbackCaller.h"

namespace cactuswick::transport {
namespace {

constexpr uint16_t kPort = 18'931;

int
ConnectAndSendRequest(uint16_t aPort = kPort)
{
  const int handle = ConnectTo(aPort);
  const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  EXPECT_EQ(write(handle, request.data(), request.size()),
            static_cast<ssize_t>(request.size()));
  return handle;
}

void
CloseWithReset(int aHandle)
{
  const linger now{ .l_onoff = 1, .l_linger = 0 };
  setsockopt(aHandle, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  close(aHandle);
}

TEST(HttpExchange, AbortIsSafeDuringConnectionReset)
{
  EventLoop loop;
  int client = -1;
  int rounds = 0;
  std::unique_ptr<HttpExchange> exchange;
  HttpServer server(
    loop, { .onRequest_ = [&](std::unique_ptr<HttpExchange> aExchange) {
      exchange = std::move(aExchange);
      exchange->StartStream(200, {});
      // More than the socket buffer takes, so that writing fails later.
      exchange->SendChunk(std::string(size_t{ 32 } << 20, 'x'));
      CloseWithReset(client);
      exchange->Abort();
    } });
  ASSERT_TRUE(server.Listen({ ProcessLoopbackHost(), kPort }).ok());
  Timer next(loop, [&] {
    exchange.reset();
    if (++rounds > 20) {
      loop.Stop();
      return;
    }
    client = ConnectAndSendRequest();
  });
  next.StartRepeating(10);
  loop.Run();
  EXPECT_GT(rounds, 20);
}

TEST(HttpExchange, PendingBytesIncludeSmallChunkOverhead)
{
  constexpr size_t kChunks = 10'000;
  constexpr size_t kMinBytesPerChunk = 512;
  EventLoop loop;
  size_t pending = 0;
  HttpServer server(
    loop, { .onRequest_ = [&](std::unique_ptr<HttpExchange> aExchange) {
      aExchange->StartStream(200, {});
      for (size_t i = 0; i < kChunks; ++i) {
        aExchange->SendChunk("a");
      }
      pending = aExchange->PendingBytes();
      loop.Stop();
    } });
  ASSERT_TRUE(server.Listen({ ProcessLoopbackHost(), kPort + 2 }).ok());
  const int handle = ConnectAndSendRequest(kPort + 2);
  loop.Run();
  close(handle);
  EXPECT_GE(pending, kChunks * kMinBytesPerChunk);
}

TEST(HttpExchange, PreservesUriAndHeaders)
{
  EventLoop loop;
  std::string uri;
  Headers headers;
  HttpServer server(
    loop, { .onRequest_ = [&](std::unique_ptr<HttpExchange> aExchange) {
      uri = aExchange->Uri();
      headers = aExchange->RequestHeaders();
      aExchange->CloseAfterReply();
      aExchange->Reply(200, {}, "ok");
      loop.Stop();
    } });
  ASSERT_TRUE(server.Listen({ ProcessLoopbackHost(), kPort + 1 }).ok());
  const int handle = ConnectTo(kPort + 1);
  const std::string request =
    "GET /a%2Fb?x=%20 HTTP/1.1\r\nHost: h\r\nX-A: 1\r\nx-a: 2\r\n\r\n";
  ASSERT_EQ(write(handle, request.data(), request.size()),
            static_cast<ssize_t>(request.size()));
  loop.Run();
  close(handle);
  EXPECT_EQ(uri, "/a%2Fb?x=%20");
  EXPECT_EQ(headers,
            (Headers{ { "Host", "h" }, { "X-A", "1" }, { "x-a", "2" } }));
}

} // namespace
} // namespace cactuswick::transport

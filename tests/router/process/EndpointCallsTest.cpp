#include "process/EndpointCalls.h"

#include <memory>
#include <string>

#include <gtest/gtest.h>

#include "cactuswick/model/process/Error.h"
#include "cactuswick/transport/connection/HttpServer.h"
#include "transport/connection/LoopbackCaller.h"

namespace cactuswick::router {
namespace {

using transport::EventLoop;
using transport::HttpExchange;
using transport::HttpServer;
using transport::Timer;

constexpr uint16_t kPort = 18'971;
constexpr int64_t kTimeoutMs = 30'000;

transport::Address
OwnAddress()
{
  return { transport::ProcessLoopbackHost(), kPort };
}

TEST(EndpointCalls, EndlessHealthResponseIsCutOff)
{
  constexpr size_t kChunkBytes = size_t{ 16 } << 10;
  constexpr size_t kCapBytes = size_t{ 8 } << 20;
  constexpr size_t kMaxSentBytes = size_t{ 4 } << 20;
  EventLoop loop;
  size_t sent = 0;
  std::unique_ptr<HttpExchange> exchange;
  HttpServer server(
    loop, { .onRequest_ = [&](std::unique_ptr<HttpExchange> aExchange) {
      exchange = std::move(aExchange);
      exchange->StartStream(200, {});
    } });
  ASSERT_TRUE(server.Listen(OwnAddress()).ok());
  Timer chunkTimer(loop, [&] {
    if (exchange) {
      exchange->SendChunk(std::string(kChunkBytes, 'a'));
      sent += kChunkBytes;
    }
    if (sent >= kCapBytes) {
      loop.Stop();
    }
  });
  chunkTimer.StartRepeating(1);
  absl::Status status;
  {
    EndpointCalls calls(
      loop,
      { .timeoutMs_ = kTimeoutMs,
        .onDone_ = [&](const std::string&, const absl::Status& aStatus, int) {
          status = aStatus;
          loop.Stop();
        } });
    const model::Announcement endpoint{ .endpoint_ = "i",
                                        .address_ = OwnAddress().ToString() };
    ASSERT_TRUE(
      calls.Start(endpoint, { .method_ = "GET", .path_ = "/health" }).ok());
    loop.Run();
  }
  EXPECT_EQ(model::KindOf(status), model::ErrorKind::kTooLarge) << status;
  EXPECT_LT(sent, kMaxSentBytes);
  loop.Defer([&] { loop.Stop(); });
  loop.Run();
}

} // namespace
} // namespace cactuswick::router

#include "cactuswick/transport/connection/HttpServer.h"

#include <gtest/gtest.h>

#include "connection/LoopbackCaller.h"

namespace cactuswick::transport {
namespace {

constexpr uint16_t kPort = 18'941;
constexpr int64_t kIdleMs = 300;
constexpr int64_t kPollMs = 10;

TEST(HttpServer, ClosesSilentConnectionsByTheLimitsOfTheirStart)
{
  EventLoop loop;
  HttpServer server(loop, { .limits_ = { .idleTimeoutMs_ = 60'000 } });
  ASSERT_TRUE(server.Listen({ OwnHost(), kPort }).ok());
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

} // namespace
} // namespace cactuswick::transport

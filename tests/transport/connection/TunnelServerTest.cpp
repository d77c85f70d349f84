#include "cactuswick/transport/connection/TunnelServer.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "cactuswick/model/process/Error.h"
#include "cactuswick/transport/connection/HttpCall.h"
#include "cactuswick/transport/connection/HttpServer.h"
#include "connection/CannedResponseServer.h"
#include "connection/LoopbackServer.h"
#include "connection/TunnelReply.h"

namespace cactuswick::transport {
namespace {

constexpr uint16_t kEndpointPort = 18'971;
constexpr uint16_t kTunnelPort = 18'972;
constexpr int64_t kGuardMs = 20'000;
/// Time in which the end of a connection is noticed.
constexpr int64_t kCloseMs = 500;
constexpr size_t kLongBytes = size_t{ 700 } << 10;

const Address kEndpoint{ ProcessLoopbackHost(), kEndpointPort };
const Address kTunnel{ ProcessLoopbackHost(), kTunnelPort };

struct CallResult
{
  absl::Status status_;
  int httpStatus_ = 0;
  std::string body_;
  bool wasDispatched_ = false;
  std::optional<TunnelOutcome> reply_;
};

/// A router that opens tunnels and one that makes calls through it, on a loop.
struct Routers
{
  explicit Routers(TunnelOutcome aCheck = TunnelOutcome::kOpened)
    : server_(loop_,
              { .check_ = [aCheck](const Address&) { return aCheck; },
                .onConnect_ =
                  [this](const Address&, bool aConnected) {
                    connects_.push_back(aConnected);
                  } })
  {
  }

  CallResult Call(const std::string& aBody = "")
  {
    CallResult result;
    std::unique_ptr<HttpCall> call;
    HttpCallOptions options{ .address_ = kEndpoint,
                             .tunnel_ = kTunnel,
                             .path_ = "/x",
                             .body_ = std::string(aBody),
                             .acceptsUnframed_ = true };
    options.onHeaders_ = [&](int aStatus, const Headers&) {
      result.httpStatus_ = aStatus;
    };
    options.onData_ = [&](std::string_view aData) { result.body_ += aData; };
    options.onDone_ = [&](absl::Status aStatus) {
      result.status_ = std::move(aStatus);
      result.wasDispatched_ = call->WasDispatched();
      result.reply_ = call->TunnelReply();
      call.reset();
      loop_.Defer([this] { loop_.Stop(); });
    };
    Timer guard(loop_, [this] { loop_.Stop(); });
    guard.StartOnce(kGuardMs);
    call = std::make_unique<HttpCall>(loop_, std::move(options));
    loop_.Run();
    return result;
  }

  EventLoop loop_;
  TunnelServer server_;
  std::vector<bool> connects_;
};

/// An endpoint that repeats the body of each request.
struct EchoEndpoint
{
  explicit EchoEndpoint(EventLoop& aLoop)
    : server_(aLoop,
              { .limits_ = { .maxHeaderBytes_ = 65'536,
                             .maxBodyBytes_ = 4 * kLongBytes },
                .onRequest_ = [this](std::unique_ptr<HttpExchange> aExchange) {
                  ++requests_;
                  aExchange->Reply(200, {}, aExchange->Body());
                } })
  {
    EXPECT_TRUE(server_.Listen(kEndpoint).ok());
  }

  int requests_ = 0;
  HttpServer server_;
};

TEST(TunnelServer, PassesRequestsAndResponsesUnchanged)
{
  Routers routers;
  const EchoEndpoint endpoint(routers.loop_);
  ASSERT_TRUE(routers.server_.Listen(kTunnel).ok());
  for (const size_t bytes : { size_t{ 0 }, size_t{ 10 }, kLongBytes }) {
    std::string body(bytes, 'a');
    for (size_t i = 0; i < bytes; ++i) {
      body[i] = static_cast<char>('a' + i % 23);
    }
    const CallResult result = routers.Call(body);
    EXPECT_TRUE(result.status_.ok()) << result.status_;
    EXPECT_EQ(result.httpStatus_, 200);
    EXPECT_TRUE(result.body_ == body) << bytes;
    EXPECT_EQ(result.reply_, TunnelOutcome::kOpened);
  }
  EXPECT_EQ(endpoint.requests_, 3);
  EXPECT_EQ(routers.connects_, std::vector<bool>(3, true));
}

TEST(TunnelServer, RefusedRequestDoesNotReachTheEndpoint)
{
  for (const auto outcome :
       { TunnelOutcome::kUnavailable, TunnelOutcome::kNotTaken }) {
    Routers routers(outcome);
    const EchoEndpoint endpoint(routers.loop_);
    ASSERT_TRUE(routers.server_.Listen(kTunnel).ok());
    const CallResult result = routers.Call(std::string(kLongBytes, 'a'));
    EXPECT_FALSE(result.status_.ok());
    EXPECT_FALSE(result.wasDispatched_);
    EXPECT_EQ(result.reply_, outcome);
    EXPECT_EQ(endpoint.requests_, 0);
  }
}

TEST(TunnelServer, EndpointThatRefusesConnectionsIsUnreachable)
{
  Routers routers;
  ASSERT_TRUE(routers.server_.Listen(kTunnel).ok());
  const CallResult result = routers.Call("a");
  EXPECT_FALSE(result.wasDispatched_);
  EXPECT_EQ(result.reply_, TunnelOutcome::kUnreachable);
  EXPECT_EQ(routers.connects_, std::vector<bool>{ false });
}

TEST(TunnelServer, RouterWithoutTunnelsLeavesTheRequestUnsent)
{
  Routers routers;
  const CallResult result = routers.Call("a");
  EXPECT_FALSE(result.status_.ok());
  EXPECT_FALSE(result.wasDispatched_);
  EXPECT_EQ(result.reply_, std::nullopt);
}

TEST(TunnelServer, RequestMayHaveRunWhenTheRouterBetweenDies)
{
  Routers routers;
  const LoopbackServer dying(kTunnelPort, [](int aHandle) {
    char request[1'024];
    recv(aHandle, request, sizeof(request), 0);
  });
  const CallResult result = routers.Call("a");
  EXPECT_FALSE(result.status_.ok());
  EXPECT_TRUE(result.wasDispatched_);
  EXPECT_EQ(result.reply_, std::nullopt);
}

TEST(TunnelServer, ResponseThatTheEndpointResetsIsNotComplete)
{
  Routers routers;
  ASSERT_TRUE(routers.server_.Listen(kTunnel).ok());
  const LoopbackServer endpoint(kEndpointPort, [](int aHandle) {
    constexpr std::string_view kBegin = "HTTP/1.1 200 OK\r\n\r\nbegin";
    char request[1'024];
    recv(aHandle, request, sizeof(request), 0);
    send(aHandle, kBegin.data(), kBegin.size(), MSG_NOSIGNAL);
    usleep(100'000);
    const linger reset{ .l_onoff = 1, .l_linger = 0 };
    setsockopt(aHandle, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  });
  const CallResult result = routers.Call("a");
  EXPECT_EQ(result.body_, "begin");
  EXPECT_FALSE(result.status_.ok());
}

TEST(TunnelServer, TunnelsBeyondTheLimitAreRefused)
{
  EventLoop loop;
  TunnelServer server(
    loop,
    { .maxTunnels_ = 0,
      .check_ = [](const Address&) { return TunnelOutcome::kOpened; },
      .onConnect_ = [](const Address&, bool) {} });
  ASSERT_TRUE(server.Listen(kTunnel).ok());
  std::unique_ptr<HttpCall> call;
  std::optional<TunnelOutcome> reply;
  call = std::make_unique<HttpCall>(
    loop,
    HttpCallOptions{ .address_ = kEndpoint,
                     .tunnel_ = kTunnel,
                     .onDone_ = [&](const absl::Status&) {
                       reply = call->TunnelReply();
                       loop.Stop();
                     } });
  loop.Run();
  call.reset();
  EXPECT_EQ(reply, TunnelOutcome::kUnavailable);
}

TEST(TunnelReply, HeadsAreReadAsTheyAreWritten)
{
  EXPECT_EQ(ParseTunnelRequest(TunnelRequestHead(kEndpoint)), kEndpoint);
  EXPECT_EQ(ParseTunnelRequest("CONNECT nowhere HTTP/1.1\r\n\r\n"),
            std::nullopt);
  EXPECT_EQ(ParseTunnelRequest("GET 127.0.0.1:1 HTTP/1.1\r\n\r\n"),
            std::nullopt);
  for (const auto outcome : { TunnelOutcome::kOpened,
                              TunnelOutcome::kUnavailable,
                              TunnelOutcome::kNotTaken,
                              TunnelOutcome::kUnreachable }) {
    EXPECT_EQ(ParseTunnelReply(TunnelReplyHead(outcome)), outcome);
  }
}

TEST(TunnelReply, ReaderReturnsWhatFollowsTheHead)
{
  const std::string bytes =
    TunnelReplyHead(TunnelOutcome::kOpened) + "HTTP/1.1 200 OK";
  TunnelReplyReader reader;
  std::string behind;
  for (const char byte : bytes) {
    behind +=
      reader.Outcome() ? std::string(1, byte) : reader.Pass({ &byte, 1 });
  }
  EXPECT_EQ(reader.Outcome(), TunnelOutcome::kOpened);
  EXPECT_EQ(behind, "HTTP/1.1 200 OK");
}

TEST(TunnelReply, OtherBytesAreMalformed)
{
  TunnelReplyReader endless;
  endless.Pass(std::string(2 * kMaxTunnelHeadBytes, 'a'));
  EXPECT_TRUE(endless.IsMalformed());
  TunnelReplyReader other;
  other.Pass("HTTP/1.1 404 Not Found\r\n\r\n");
  EXPECT_TRUE(other.IsMalformed());
  EXPECT_EQ(other.Outcome(), std::nullopt);
}

TEST(TunnelServer, RequestMayHaveRunWhenTheReplyIsNoTunnels)
{
  Routers routers;
  const CannedResponseServer other(
    kTunnelPort, "HTTP/1.1 404 Not Found\r\n\r\n", false);
  const CallResult result = routers.Call("a");
  EXPECT_FALSE(result.status_.ok());
  EXPECT_TRUE(result.wasDispatched_);
}

TEST(TunnelServer, ClosesTheTunnelOfARequestThatItCouldNotPassOn)
{
  Routers routers;
  ASSERT_TRUE(routers.server_.Listen(kTunnel).ok());
  routers.Call(std::string(kLongBytes, 'a'));
  Timer stop(routers.loop_, [&] { routers.loop_.Stop(); });
  stop.StartOnce(kCloseMs);
  routers.loop_.Run();
  EXPECT_EQ(routers.server_.Size(), 0U);
}

} // namespace
} // namespace cactuswick::transport

// What a caller's connection, the requests that are handed over, and an
// endpoint's connection carry: the same requests.

#include <chrono>
#include <mutex>
#include <set>
#include <thread>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "cactuswick/transport/connection/HttpCall.h"
#include "cactuswick/transport/connection/HttpPool.h"
#include "cactuswick/transport/connection/HttpServer.h"
#include "connection/FramingGenerators.h"
#include "connection/LoopbackCaller.h"
#include "connection/StrictReading.h"

namespace cactuswick::transport {
namespace {

constexpr uint16_t kServerPort = 18'961;
constexpr uint16_t kEndpointPort = 18'962;
/// Time in which a request that must not be served would be.
constexpr int64_t kSettleMs = 20;
constexpr int64_t kTimeoutMs = 5'000;

/// Reads requests from its connections strictly and responds to each of them.
class StrictEndpoint
{
public:
  StrictEndpoint()
    : listener_(ListenAt(kEndpointPort))
    , thread_([this] { Accept(); })
  {
  }

  ~StrictEndpoint()
  {
    shutdown(listener_, SHUT_RDWR);
    thread_.join();
    close(listener_);
  }

  /// Returns all requests, in the order in which they were read, and whether
  /// all bytes could be read.
  StrictResult Read()
  {
    const std::lock_guard lock(mutex_);
    return read_;
  }

private:
  void Accept()
  {
    std::vector<std::thread> threads;
    int handle = 0;
    while ((handle = accept(listener_, nullptr, nullptr)) >= 0) {
      threads.emplace_back([this, handle] { Serve(handle); });
    }
    for (auto& thread : threads) {
      thread.join();
    }
  }

  void Serve(int aHandle)
  {
    constexpr std::string_view kResponse =
      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    std::string bytes;
    size_t answered = 0;
    std::string piece(4'096, '\0');
    ssize_t count = 0;
    while ((count = recv(aHandle, piece.data(), piece.size(), 0)) > 0) {
      bytes.append(piece, 0, static_cast<size_t>(count));
      const StrictResult all = StrictReading(bytes).ReadAll(false);
      const std::lock_guard lock(mutex_);
      read_.malformed_ |= all.malformed_;
      for (; answered < all.requests_.size(); ++answered) {
        read_.requests_.push_back(all.requests_[answered]);
        send(aHandle, kResponse.data(), kResponse.size(), MSG_NOSIGNAL);
      }
    }
    close(aHandle);
  }

  std::mutex mutex_;
  StrictResult read_;
  int listener_;
  std::thread thread_;
};

/// Forwards each request of one caller to the endpoint, as a router does.
class Forwarder
{
public:
  Forwarder()
    : pool_(loop_)
    , server_(loop_, { .onRequest_ = [this](auto aExchange) {
                Forward(std::move(aExchange));
              } })
  {
    EXPECT_TRUE(server_.Listen({ ProcessLoopbackHost(), kServerPort }).ok());
  }

  /// Sends @p aBytes from one caller in two pieces; returns what was decided to
  /// be forwarded once @p aExpected requests have been served and no more come.
  std::vector<ReadRequest> Run(const std::string& aBytes,
                               size_t aFirstBytes,
                               size_t aExpected)
  {
    Timer check(loop_, [&] { StopOnceSettled(aExpected); });
    check.StartRepeating(1);
    startMs_ = settledMs_ = EventLoop::NowMs();
    const int handle = ConnectTo(kServerPort);
    std::thread caller([&] {
      send(handle, aBytes.data(), aFirstBytes, MSG_NOSIGNAL);
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
      send(handle,
           aBytes.data() + aFirstBytes,
           aBytes.size() - aFirstBytes,
           MSG_NOSIGNAL);
    });
    loop_.Run();
    caller.join();
    close(handle);
    return decided_;
  }

private:
  void Forward(std::unique_ptr<HttpExchange> aExchange)
  {
    decided_.push_back(
      { aExchange->Method(), aExchange->Uri(), aExchange->Body() });
    settledMs_ = EventLoop::NowMs();
    exchange_ = std::move(aExchange);
    call_ = std::make_unique<HttpCall>(
      loop_,
      HttpCallOptions{ .address_ = { ProcessLoopbackHost(), kEndpointPort },
                       .method_ = exchange_->Method(),
                       .path_ = exchange_->Uri(),
                       .body_ = exchange_->SharedBody(),
                       .pool_ = &pool_,
                       .onDone_ = [this](const absl::Status& aStatus) {
                         ++served_;
                         settledMs_ = EventLoop::NowMs();
                         exchange_->Reply(aStatus.ok() ? 200 : 502, {}, "");
                       } });
  }

  void StopOnceSettled(size_t aExpected)
  {
    const int64_t now = EventLoop::NowMs();
    const bool settled = served_ >= aExpected && now - settledMs_ > kSettleMs;
    if (settled || now - startMs_ > kTimeoutMs) {
      loop_.Stop();
    }
  }

  EventLoop loop_;
  HttpPool pool_;
  HttpServer server_;
  std::unique_ptr<HttpExchange> exchange_;
  std::unique_ptr<HttpCall> call_;
  std::vector<ReadRequest> decided_;
  size_t served_ = 0;
  int64_t startMs_ = 0;
  int64_t settledMs_ = 0;
};

// Guards against UNASKED by framing: a body that is run as a request of its
// own, because the router, evhttp or an endpoint ends a message elsewhere.
RC_GTEST_PROP(MessageFramingProperty,
              EndpointsReceiveExactlyTheRequestsThatCallersSent,
              ())
{
  std::string bytes;
  for (int count = *rc::gen::inRange(1, 4); count > 0; --count) {
    const OddRequest request = *AnyRequest();
    RC_LOG() << request.form_ << "\n";
    bytes += request.bytes_;
  }
  const StrictResult sent = StrictReading(bytes).ReadAll(true);
  const auto firstBytes = *rc::gen::inRange<size_t>(1, bytes.size() + 1);
  StrictEndpoint endpoint;
  std::vector<ReadRequest> decided;
  {
    Forwarder forwarder;
    decided = forwarder.Run(bytes, firstBytes, sent.requests_.size());
  }
  const StrictResult received = endpoint.Read();
  RC_ASSERT(decided == sent.requests_);
  RC_ASSERT(!received.malformed_);
  RC_ASSERT(received.requests_ == decided);
}

class RequestMethods : public testing::TestWithParam<std::string>
{};

// Guards against UNASKED by the router's own hand: a PATCH was forwarded with
// its body but without a length, so that its body was run as a request.
TEST_P(RequestMethods, BodyIsForwardedWithItsLength)
{
  const std::string inner =
    "POST /inner HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";
  const std::string chunked = GetParam() +
                              " /a HTTP/1.1\r\nHost: a\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n" +
                              Hexadecimal(inner.size()) + "\r\n" + inner +
                              "\r\n0\r\n\r\n";
  const std::string whole = GetParam() +
                            " /a HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                            std::to_string(inner.size()) + "\r\n\r\n" + inner;
  StrictEndpoint endpoint;
  {
    Forwarder forwarder;
    forwarder.Run(whole + chunked, whole.size(), 2);
  }
  const ReadRequest expected{ GetParam(), "/a", inner };
  const StrictResult received = endpoint.Read();
  EXPECT_FALSE(received.malformed_);
  EXPECT_EQ(received.requests_, (std::vector{ expected, expected }));
}

INSTANTIATE_TEST_SUITE_P(MessageFraming,
                         RequestMethods,
                         testing::Values("POST", "PUT", "PATCH"));

} // namespace
} // namespace cactuswick::transport

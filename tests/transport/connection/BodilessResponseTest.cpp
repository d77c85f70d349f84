#include <ostream>
#include <string>
#include <thread>

#include <gtest/gtest.h>

#include "cactuswick/model/process/Text.h"
#include "cactuswick/transport/connection/HttpServer.h"
#include "connection/LoopbackCaller.h"

namespace cactuswick::transport {
namespace {

constexpr uint16_t kPort = 18'961;
constexpr std::string_view kError = "{\"error\":{\"kind\":\"unknown\"}}";
constexpr std::string_view kNextBody = "answer to the next request";

/// How a server responds.
enum class Way
{
  kReply,
  kStream,
  kAbortAfter,
  kAtHead,
};

struct BodilessCase
{
  std::string name_;
  std::string method_;
  int status_ = 0;
  Way way_ = Way::kReply;
};

std::ostream&
operator<<(std::ostream& aStream, const BodilessCase& aCase)
{
  return aStream << aCase.name_;
}

void
Respond(HttpExchange& aExchange, const BodilessCase& aCase)
{
  if (aExchange.Path() == "/next") {
    aExchange.Reply(200, {}, kNextBody);
  } else if (aCase.way_ == Way::kReply) {
    aExchange.Reply(aCase.status_, {}, kError);
  } else {
    aExchange.StartStream(aCase.status_, {});
    aExchange.SendChunk(kError);
    aCase.way_ == Way::kStream ? aExchange.EndStream()
                               : aExchange.AbortAfter(kError);
  }
}

/// Sends a request and then, on the same channel, the next one; returns what
/// comes until the server closes the channel or the next one is answered.
std::string
AskTwice(const std::string& aMethod, const std::string& aTarget = "/first")
{
  constexpr timeval kTimeout{ .tv_sec = 3, .tv_usec = 0 };
  const int handle = ConnectTo(kPort);
  setsockopt(handle, SOL_SOCKET, SO_RCVTIMEO, &kTimeout, sizeof(kTimeout));
  const std::string requests =
    model::Concat(aMethod,
                  " ",
                  aTarget,
                  " HTTP/1.1\r\nHost: h\r\n\r\n",
                  "GET /next HTTP/1.1\r\nHost: h\r\n\r\n");
  send(handle, requests.data(), requests.size(), MSG_NOSIGNAL);
  std::string text;
  char piece[4'096];
  ssize_t count = 0;
  while (!text.ends_with(kNextBody) &&
         (count = recv(handle, piece, sizeof(piece), 0)) > 0) {
    text.append(piece, static_cast<size_t>(count));
  }
  EXPECT_GE(count, 0) << "neither an answer nor a close";
  close(handle);
  return text;
}

class BodilessResponse : public testing::TestWithParam<BodilessCase>
{};

// Guards against MIXED (review/6): the text of an error stood on the kept
// channel of a HEAD request, where the next answer is due.
TEST_P(BodilessResponse, IsFollowedByTheNextOneOrTheClose)
{
  const BodilessCase& example = GetParam();
  EventLoop loop;
  HttpServerOptions options;
  options.onRequest_ = [&](std::unique_ptr<HttpExchange> aExchange) {
    Respond(*aExchange, example);
  };
  if (example.way_ == Way::kAtHead) {
    options.onHead_ = [&](IntakeId, const RequestHead&) {
      return HeadDecision{ .action_ = HeadDecision::Action::kRefuse,
                           .response_ = { .status_ = example.status_,
                                          .body_ = std::string(kError) } };
    };
  }
  HttpServer server(loop, std::move(options));
  ASSERT_TRUE(server.Listen({ ProcessLoopbackHost(), kPort }).ok());
  Waker done(loop, [&] { loop.Stop(); });
  std::string text;
  std::thread caller([&] {
    text = AskTwice(example.method_);
    done.Wake();
  });
  loop.Run();
  caller.join();
  const bool closes =
    example.way_ == Way::kAtHead || example.way_ == Way::kAbortAfter;
  const size_t headEnd = text.find("\r\n\r\n");
  const std::string head = text.substr(0, headEnd);
  const std::string rest =
    headEnd == std::string::npos ? "" : text.substr(headEnd + 4);
  EXPECT_TRUE(head.starts_with(model::Concat("HTTP/1.1 ", example.status_)) ||
              (head.empty() && example.way_ == Way::kAbortAfter))
    << text;
  EXPECT_EQ(rest.substr(0, 13), closes ? "" : "HTTP/1.1 200 ") << text;
}

INSTANTIATE_TEST_SUITE_P(
  Ways,
  BodilessResponse,
  testing::Values(BodilessCase{ "Head404", "HEAD", 404, Way::kReply },
                  BodilessCase{ "Head401", "HEAD", 401, Way::kReply },
                  BodilessCase{ "Head503", "HEAD", 503, Way::kReply },
                  BodilessCase{ "Head200", "HEAD", 200, Way::kReply },
                  BodilessCase{ "Get204", "GET", 204, Way::kReply },
                  BodilessCase{ "Get304", "GET", 304, Way::kReply },
                  BodilessCase{ "HeadStream", "HEAD", 200, Way::kStream },
                  BodilessCase{ "Get204Stream", "GET", 204, Way::kStream },
                  BodilessCase{ "Get304Stream", "GET", 304, Way::kStream },
                  BodilessCase{ "HeadAborted", "HEAD", 200, Way::kAbortAfter },
                  BodilessCase{ "Get204Aborted", "GET", 204, Way::kAbortAfter },
                  BodilessCase{ "HeadAtHead413", "HEAD", 413, Way::kAtHead },
                  BodilessCase{ "HeadAtHead503", "HEAD", 503, Way::kAtHead }),
  [](const auto& aInfo) { return aInfo.param.name_; });

// Guards against MIXED: evhttp's own refusals have a page of HTML as their
// body.
TEST(BodilessResponseTarget, RefusedHeadHasNoBody)
{
  for (const char* target : { "http://[", "http://h:x/", "//h:99999999/" }) {
    EventLoop loop;
    HttpServer server(
      loop, { .onRequest_ = [](std::unique_ptr<HttpExchange> aExchange) {
        Respond(*aExchange, { .status_ = 404 });
      } });
    ASSERT_TRUE(server.Listen({ ProcessLoopbackHost(), kPort }).ok());
    Waker done(loop, [&] { loop.Stop(); });
    std::string text;
    std::thread caller([&] {
      text = AskTwice("HEAD", target);
      done.Wake();
    });
    loop.Run();
    caller.join();
    EXPECT_TRUE(text.starts_with("HTTP/1.1 400 ")) << target << text;
    EXPECT_TRUE(text.ends_with("\r\n\r\n")) << target << text;
  }
}

// Guards against a check that passes because no body is ever sent.
TEST(BodilessResponseControl, GetStillGetsTheText)
{
  EventLoop loop;
  HttpServer server(
    loop, { .onRequest_ = [](std::unique_ptr<HttpExchange> aExchange) {
      Respond(*aExchange, { .status_ = 404 });
    } });
  ASSERT_TRUE(server.Listen({ ProcessLoopbackHost(), kPort }).ok());
  Waker done(loop, [&] { loop.Stop(); });
  std::string text;
  std::thread caller([&] {
    text = AskTwice("GET");
    done.Wake();
  });
  loop.Run();
  caller.join();
  EXPECT_NE(text.find(kError), std::string::npos) << text;
}

} // namespace
} // namespace cactuswick::transport

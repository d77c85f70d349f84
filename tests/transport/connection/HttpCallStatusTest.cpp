#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

#include <gtest/gtest.h>

#include "cactuswick/model/process/Error.h"
#include "cactuswick/model/process/Text.h"
#include "cactuswick/transport/connection/HttpCall.h"
#include "cactuswick/transport/connection/HttpPool.h"
#include "connection/LoopbackServer.h"

namespace cactuswick::transport {
namespace {

using model::Concat;
using model::ErrorKind;

constexpr uint16_t kPort = 18'971;
constexpr int64_t kTimeoutMs = 5'000;
/// Larger than the socket buffers of both sides.
constexpr size_t kLongUploadBytes = size_t{ 12 } << 20;
constexpr std::chrono::milliseconds kPause(3);

/// How a server ends its response.
enum class Ending
{
  kNone,
  kShutdown,
  kReset,
};

struct Response
{
  std::string text_;
  /// Bytes of the text that are sent first; the rest follows after a pause.
  size_t firstBytes_ = 0;
  Ending ending_ = Ending::kNone;
};

struct Call
{
  /// The response is the second one on its connection.
  bool isKept_ = false;
  size_t uploadBytes_ = 0;
};

struct CallResult
{
  absl::Status status_;
  int httpStatus_ = 0;
  std::string data_;
  std::string malformation_;
  bool isPooled_ = false;
};

/// Serves one connection: one whole response first if it is kept, then the
/// response in question, for which the request's body is not read.
void
Serve(int aHandle, const Response& aResponse, bool aIsKept)
{
  constexpr std::string_view kFirst =
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  char request[512];
  if (aIsKept) {
    recv(aHandle, request, sizeof(request), 0);
    send(aHandle, kFirst.data(), kFirst.size(), MSG_NOSIGNAL);
  }
  recv(aHandle, request, sizeof(request), 0);
  const std::string_view text = aResponse.text_;
  const std::string_view first = text.substr(0, aResponse.firstBytes_);
  const std::string_view rest = text.substr(first.size());
  send(aHandle, first.data(), first.size(), MSG_NOSIGNAL);
  if (!first.empty()) {
    std::this_thread::sleep_for(kPause);
  }
  send(aHandle, rest.data(), rest.size(), MSG_NOSIGNAL);
  if (aResponse.ending_ == Ending::kReset) {
    constexpr linger kReset{ .l_onoff = 1, .l_linger = 0 };
    setsockopt(aHandle, SOL_SOCKET, SO_LINGER, &kReset, sizeof(kReset));
    return;
  }
  if (aResponse.ending_ == Ending::kShutdown) {
    shutdown(aHandle, SHUT_WR);
  }
  // Until the client closes; closing with unread bytes would reset.
  while (recv(aHandle, request, sizeof(request), 0) > 0) {
  }
}

CallResult
MakeCalls(const Response& aResponse, const Call& aCall)
{
  const Address address{ ProcessLoopbackHost(), kPort };
  CallResult result;
  {
    LoopbackServer server(
      kPort, [&](int aHandle) { Serve(aHandle, aResponse, aCall.isKept_); });
    EventLoop loop;
    HttpPool pool(loop);
    for (int number = aCall.isKept_ ? 0 : 1; number < 2; ++number) {
      result = {};
      std::unique_ptr<HttpCall> call;
      call = std::make_unique<HttpCall>(
        loop,
        HttpCallOptions{
          .address_ = address,
          .path_ = "/",
          .body_ = std::string(number == 0 ? 0 : aCall.uploadBytes_, 'u'),
          .firstByteTimeoutMs_ = kTimeoutMs,
          .progressTimeoutMs_ = kTimeoutMs,
          .pool_ = &pool,
          .acceptsUnframed_ = true,
          .onHeaders_ = [&](int aStatus,
                            const Headers&) { result.httpStatus_ = aStatus; },
          .onData_ = [&](std::string_view aData) { result.data_ += aData; },
          .onDone_ =
            [&](absl::Status aStatus) {
              result.status_ = std::move(aStatus);
              result.malformation_ = call->Malformation();
              call.reset();
              loop.Defer([&] { loop.Stop(); });
            } });
      loop.Run();
    }
    result.isPooled_ = pool.Take(address) != nullptr;
  }
  return result;
}

const std::vector<std::string> kBodies = {
  "\r\nContent-Length: 4\r\n\r\nbody",
  "\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
  "\r\n\r\nbody",
};

using FormCase = std::tuple<Ending, bool, size_t>;

class HttpCallForms : public testing::TestWithParam<FormCase>
{
protected:
  Call CallOfCase() const
  {
    return { .isKept_ = std::get<1>(GetParam()),
             .uploadBytes_ = std::get<2>(GetParam()) };
  }
  Ending EndingOfCase() const { return std::get<0>(GetParam()); }
};

class HttpCallResets : public HttpCallForms
{};

std::string
NameOfForm(const testing::TestParamInfo<FormCase>& aInfo)
{
  const auto& [ending, isKept, uploadBytes] = aInfo.param;
  const char* name = ending == Ending::kNone       ? "Open"
                     : ending == Ending::kShutdown ? "Closed"
                                                   : "Reset";
  return Concat(
    name, isKept ? "Kept" : "Fresh", uploadBytes > 0 ? "LongUpload" : "");
}

// Guards against MIXED (reports of other operators): an answer whose status is
// none of HTTP, such as 000, was passed on as an answer.
TEST_P(HttpCallForms, StatusThatHttpDoesNotDefineIsNoResponse)
{
  for (const char* status :
       { "000", "001", "007",  "099", "600", "666",  "700",  "999",  "0",
         "20",  "2",   "2000", "20 ", "+20", "-20",  "+200", "-200", "2e2",
         "0xc", "abc", "20x",  "2.0", "",    " 200", "200x" }) {
    for (const std::string& body : kBodies) {
      for (const size_t firstBytes : { size_t{ 0 }, size_t{ 20 } }) {
        const Response response{ .text_ =
                                   Concat("HTTP/1.1 ", status, " Odd", body),
                                 .firstBytes_ = firstBytes,
                                 .ending_ = EndingOfCase() };
        const CallResult result = MakeCalls(response, CallOfCase());
        const std::string name = Concat(status, body, firstBytes);
        EXPECT_EQ(model::KindOf(result.status_), ErrorKind::kUpstreamFailed)
          << name;
        EXPECT_EQ(result.httpStatus_, 0) << name;
        EXPECT_EQ(result.data_, "") << name;
        EXPECT_FALSE(result.isPooled_) << name;
      }
    }
  }
}

// Guards against MIXED (reports of other operators): a part of an answer
// without a length was passed on as whole after a reset, also while the request
// was still being written.
TEST_P(HttpCallResets, ResponseThatIsResetIsNotComplete)
{
  for (const char* head :
       { "HTTP/1.1 200 OK\r\n\r\n",
         "HTTP/1.0 200 OK\r\n\r\n",
         "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\n",
         "HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\n",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2328\r\n" }) {
    for (const size_t bodyBytes : { 0, 1, 4'000 }) {
      const std::string text = Concat(head, std::string(bodyBytes, 'b'));
      for (const size_t firstBytes :
           { size_t{ 0 }, size_t{ 10 }, text.size() }) {
        const CallResult result = MakeCalls({ .text_ = text,
                                              .firstBytes_ = firstBytes,
                                              .ending_ = EndingOfCase() },
                                            CallOfCase());
        EXPECT_EQ(model::KindOf(result.status_), ErrorKind::kUpstreamFailed)
          << head << bodyBytes << " first " << firstBytes;
        EXPECT_FALSE(result.isPooled_);
      }
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Connections,
                         HttpCallForms,
                         testing::Combine(testing::Values(Ending::kNone,
                                                          Ending::kShutdown,
                                                          Ending::kReset),
                                          testing::Bool(),
                                          testing::Values(size_t{ 0 },
                                                          kLongUploadBytes)),
                         &NameOfForm);

INSTANTIATE_TEST_SUITE_P(Connections,
                         HttpCallResets,
                         testing::Combine(testing::Values(Ending::kReset),
                                          testing::Bool(),
                                          testing::Values(size_t{ 0 },
                                                          size_t{ 70'000 },
                                                          kLongUploadBytes)),
                         [](const auto& aInfo) {
                           return Concat(NameOfForm(aInfo),
                                         std::get<2>(aInfo.param));
                         });

TEST(HttpCallStatus, StatusOfHttpIsAResponse)
{
  for (const int status : { 200,
                            201,
                            203,
                            206,
                            226,
                            299,
                            300,
                            306,
                            308,
                            399,
                            400,
                            418,
                            451,
                            499,
                            500,
                            511,
                            520,
                            599 }) {
    for (const char* reason : { "", " ", " Odd", " \xc3\xa9 " }) {
      for (const bool isKept : { false, true }) {
        for (const std::string& body : kBodies) {
          const Response response{ .text_ =
                                     Concat("HTTP/1.1 ", status, reason, body),
                                   .ending_ = Ending::kShutdown };
          const CallResult result = MakeCalls(response, { .isKept_ = isKept });
          EXPECT_TRUE(result.status_.ok()) << response.text_ << result.status_;
          EXPECT_EQ(result.httpStatus_, status) << response.text_;
          EXPECT_EQ(result.data_, "body") << response.text_;
          EXPECT_EQ(result.malformation_, "");
        }
      }
    }
  }
}

TEST(HttpCallStatus, InterimStatusAloneIsNoResponse)
{
  for (const int status : { 100, 101, 102, 103, 104, 150, 199 }) {
    for (const std::string& body : kBodies) {
      for (const Ending ending : { Ending::kShutdown, Ending::kReset }) {
        const CallResult result =
          MakeCalls({ .text_ = Concat("HTTP/1.1 ", status, " Odd", body),
                      .ending_ = ending },
                    {});
        EXPECT_EQ(model::KindOf(result.status_), ErrorKind::kUpstreamFailed)
          << status << body;
        EXPECT_EQ(result.httpStatus_, 0) << status << body;
        EXPECT_EQ(result.data_, "") << status << body;
      }
    }
  }
}

TEST(HttpCallStatus, ErrorNamesTheStatus)
{
  for (const char* status : { "000", "999", "20", "2000", "abc" }) {
    const CallResult result =
      MakeCalls({ .text_ = Concat("HTTP/1.1 ", status, " Odd\r\n\r\n") }, {});
    EXPECT_NE(result.malformation_.find(
                Concat("expected a status from 100 to 599, got ", status)),
              std::string::npos)
      << result.malformation_;
  }
  const CallResult result = MakeCalls(
    { .text_ = "HTTP/1.1 a-long-text-that-is-no-status Odd\r\n\r\n" }, {});
  EXPECT_EQ(result.malformation_.find("a-long-text"), std::string::npos);
}

} // namespace
} // namespace cactuswick::transport

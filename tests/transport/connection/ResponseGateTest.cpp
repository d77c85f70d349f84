#include "connection/ResponseGate.h"

#include <string>
#include <string_view>

#include <gtest/gtest.h>

namespace cactuswick::transport {
namespace {

const std::string kCopy =
  "HTTP/1.1 503 No\r\nX-Id: other\r\nContent-Length: 4\r\n\r\nbusy";
const std::string kInterim = "HTTP/1.1 103 Early Hints\r\nX-Id: other\r\n\r\n";
const std::string kAwaited =
  "HTTP/1.1 200 OK\r\nX-Id: own\r\nContent-Length: 3\r\n\r\ntwo";
const std::string kUntilClose = "HTTP/1.1 200 OK\r\nX-Id: other\r\n\r\nbody";

/// A gate that skips responses with the id "other".
ResponseGate
MakeGate(std::string aMethod = "POST")
{
  return ResponseGate(
    { .method_ = std::move(aMethod), .skips_ = [](const MessageHead& aHead) {
       return aHead.headers_.front().value_ == "other";
     } });
}

/// Returns what a gate lets through of bytes that come in pieces.
std::string
PassInPieces(ResponseGate& aGate, std::string_view aBytes, size_t aPieceBytes)
{
  std::string passed;
  for (size_t at = 0; at < aBytes.size(); at += aPieceBytes) {
    passed += aGate.Pass(aBytes.substr(at, aPieceBytes));
  }
  return passed;
}

// Guards against answers lost by a late copy, however the bytes are cut.
TEST(ResponseGate, OnlyTheAwaitedResponseIsLetThrough)
{
  const std::string bytes = kCopy + kCopy + kInterim + kAwaited;
  for (size_t piece = 1; piece <= bytes.size(); ++piece) {
    ResponseGate gate = MakeGate();
    EXPECT_EQ(PassInPieces(gate, bytes, piece), kInterim + kAwaited) << piece;
    EXPECT_FALSE(gate.Error().has_value());
    EXPECT_FALSE(gate.IsExact());
  }
}

TEST(ResponseGate, WhatFollowsTheAwaitedResponseIsNotLetThrough)
{
  ResponseGate gate = MakeGate();
  EXPECT_EQ(gate.Pass(kAwaited), kAwaited);
  EXPECT_TRUE(gate.IsExact());
  EXPECT_EQ(gate.Pass(kCopy), "");
  EXPECT_FALSE(gate.IsExact());
  EXPECT_FALSE(gate.Error().has_value());
}

// Guards against an answer cut in its head that is passed on as a whole one.
TEST(ResponseGate, NothingOfAnIncompleteHeadIsLetThrough)
{
  const size_t headBytes = kAwaited.find("\r\n\r\n") + 4;
  for (size_t bytes = 0; bytes < headBytes; ++bytes) {
    ResponseGate gate = MakeGate();
    EXPECT_EQ(gate.Pass(kAwaited.substr(0, bytes)), "") << bytes;
  }
}

TEST(ResponseGate, ResponseThatOnlyTheCloseEndsIsNotSkipped)
{
  ResponseGate gate = MakeGate();
  EXPECT_EQ(gate.Pass(kUntilClose), kUntilClose);
  EXPECT_TRUE(gate.EndsByClose());
}

TEST(ResponseGate, BodyOfTheAwaitedResponseDependsOnTheMethod)
{
  const std::string head = kAwaited.substr(0, kAwaited.size() - 3);
  ResponseGate gate = MakeGate("HEAD");
  EXPECT_EQ(gate.Pass(head), head);
  EXPECT_TRUE(gate.IsExact());
  EXPECT_EQ(gate.Pass("two"), "");
  EXPECT_FALSE(gate.IsExact());
}

TEST(ResponseGate, AmbiguousEndIsAnErrorAndLetsNothingThrough)
{
  ResponseGate gate = MakeGate();
  EXPECT_EQ(gate.Pass("HTTP/1.1 200 OK\r\nX-Id: own\r\n"
                      "Content-Length: +3\r\n\r\ntwo"),
            "");
  ASSERT_TRUE(gate.Error().has_value());
  EXPECT_EQ(gate.Error()->kind_, MessageErrorKind::kMalformed);
  EXPECT_EQ(gate.Pass(kAwaited), "");
}

TEST(ResponseGate, SkippedBytesAreLimitedInSum)
{
  ResponseGate gate = MakeGate();
  const std::string body(size_t{ 100 } << 10, 'x');
  const std::string copy =
    "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: " +
    std::to_string(body.size()) + "\r\n\r\n" + body;
  EXPECT_EQ(gate.Pass(copy + copy), "");
  EXPECT_FALSE(gate.Error().has_value());
  EXPECT_EQ(gate.Pass(copy + kAwaited), "");
  ASSERT_TRUE(gate.Error().has_value());
  EXPECT_EQ(gate.Error()->kind_, MessageErrorKind::kTooLarge);
}

} // namespace
} // namespace cactuswick::transport

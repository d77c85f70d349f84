#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "cactuswick/ledger/version/Records.h"
#include "cactuswick/router/connection/ForwardDialect.h"
#include "request/AttemptEnd.h"
#include "request/EventSplitter.h"

namespace cactuswick::router {

struct ResponseRelayOptions
{
  /// Successful responses of the route are event streams.
  bool isStream_ = false;
  /// An interrupted stream may be resumed at another endpoint.
  bool resumable_ = false;
  /// Last-Event-Id of a caller that resumes a stream; empty for none.
  std::string lastEventId_;
  ledger::Tokens promptTokens_ = 0;
  /// Maximum number of tokens of the response.
  ledger::Tokens maxOutputTokens_ = 0;
  /// Maximum number of tokens in one event.
  ledger::Tokens tokensPerEvent_ = 1;
};

/// Result of feeding bytes of an endpoint's response to the relay.
struct RelayOutput
{
  /// The response to the caller starts now, with the head of this attempt's
  /// response.
  bool startsResponse_ = false;
  /// Bytes to send to the caller; may be empty.
  std::string bytes_;
  /// The bytes are one or more complete stream events.
  bool hasEvents_ = false;
  /// An event exceeds the size limit; the attempt must be aborted.
  bool eventTooLarge_ = false;

  bool operator==(const RelayOutput&) const = default;
};

/// Joins the responses of a request's attempts into one response to the caller
/// and tracks what was already forwarded. Complete events of a stream are
/// forwarded immediately. Other responses are buffered up to a limit, so that a
/// request whose response was truncated can be retried or its failure reported.
/// Pure.
class ResponseRelay
{
public:
  /// Maximum number of bytes buffered of a response that is no stream.
  static constexpr size_t kMaxBufferedBytes = size_t{ 256 } << 10;

  explicit ResponseRelay(ResponseRelayOptions aOptions);

  /// Discards the response of the previous attempt.
  void BeginAttempt();
  void SetHead(ForwardResponseHead aHead) { head_ = std::move(aHead); }
  /// Head of this attempt's response; its status is 0 until it is received.
  const ForwardResponseHead& Head() const { return head_; }
  /// Consumes bytes of this attempt's response.
  RelayOutput Feed(std::string_view aBytes);

  /// Classifies the end of this attempt.
  AttemptEnd ClassifyEnd(bool aFramingComplete, bool aEndsByClose) const;
  /// Returns @p aLabel with the response's status ("cut/200") and the id of the
  /// event after which this attempt was to resume ("unreached@1").
  std::string DescribeEnd(std::string_view aLabel) const;
  /// Ends a failed attempt; the next one resumes after the last complete event.
  void EndAttempt() { events_.Continue(); }
  /// Whether another attempt could still complete the caller's response.
  bool CanRetry() const;
  /// Ends the caller's response with this attempt's; returns the bytes that
  /// were not forwarded yet.
  std::string TakeRemainder();

  /// Whether the response to the caller has started.
  bool HasBegun() const { return begun_; }
  /// Id of the last event that the caller has; empty for none.
  const std::string& LastEventId() const { return events_.LastId(); }
  int64_t EventCount() const { return events_.Count(); }
  /// Number of events that this attempt has delivered.
  int64_t AttemptEventCount() const
  {
    return events_.Count() - eventCountAtStart_;
  }
  /// Tokens to bill; 0 if nothing of the response was forwarded to the caller.
  ledger::Tokens UsedTokens() const;

private:
  /// Whether the caller already had events when this attempt started.
  bool IsContinuation() const;
  /// Whether status or media type differ from those of the stream that this
  /// attempt continues.
  bool HeadDiffers() const;
  RelayOutput FeedEvents(std::string_view aBytes);
  RelayOutput FeedBody(std::string_view aBytes);

  ResponseRelayOptions options_;
  ForwardResponseHead head_;
  /// Head with which the caller's stream started.
  ForwardResponseHead firstHead_;
  /// Buffered bytes of a response that is no stream, not forwarded yet.
  std::string body_;
  EventSplitter events_;
  /// Id of the event after which this attempt resumes; empty for none.
  std::string resumeEventId_;
  /// Number of events that the caller had when this attempt started.
  int64_t eventCountAtStart_ = 0;
  bool begun_ = false;
  /// Buffered bytes were forwarded to the caller, completely or in part.
  bool bodyForwarded_ = false;
};

} // namespace cactuswick::router

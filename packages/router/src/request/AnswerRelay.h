#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "cactuswick/ledger/version/Records.h"
#include "cactuswick/router/connection/ForwardDialect.h"
#include "request/AnswerEnd.h"
#include "request/EventSplitter.h"

namespace cactuswick::router {

struct AnswerRelayOptions
{
  /// The route's answers are event streams.
  bool isStream_ = false;
  /// A broken stream may go on at another endpoint.
  bool resumable_ = false;
  /// Last event that a caller who resumes a stream has; empty for none.
  std::string lastEventId_;
  ledger::Tokens promptTokens_ = 0;
  /// Most tokens of the answer.
  ledger::Tokens maxOutputTokens_ = 0;
  /// Most tokens in one event.
  ledger::Tokens tokensPerEvent_ = 1;
};

/// What some bytes of an endpoint mean for the caller.
struct RelayOutput
{
  /// The caller's answer begins here, with the head of this attempt's answer.
  bool begins_ = false;
  /// Bytes for the caller; may be empty.
  std::string bytes_;
  /// The bytes are whole events of a stream.
  bool hasEvents_ = false;
  /// An event does not end; the attempt is to be given up.
  bool isOverlong_ = false;

  bool operator==(const RelayOutput&) const = default;
};

/// Joins the answers of a request's attempts into the one that its caller gets,
/// and knows what the caller already has. Whole events of a stream are passed
/// on at once. An answer that is no stream is held back up to a size, so that a
/// cut one can be repeated or reported. Pure.
class AnswerRelay
{
public:
  /// Bytes of an answer that is no stream that are held back.
  static constexpr size_t kMaxHeldBytes = size_t{ 256 } << 10;

  explicit AnswerRelay(AnswerRelayOptions aOptions);

  /// Forgets the answer of the attempt before.
  void BeginAttempt();
  void SetHead(ForwardResponseHead aAnswer) { answer_ = std::move(aAnswer); }
  /// Head of this attempt's answer; its status is 0 until it has come.
  const ForwardResponseHead& Head() const { return answer_; }
  /// Takes bytes of this attempt's answer.
  RelayOutput Feed(std::string_view aBytes);

  /// Judges the end of this attempt.
  AnswerEnd EndOfAttempt(bool aFramingIsWhole, bool aEndsByClose) const;
  /// How this attempt ended, with the answer's status, and the event after
  /// which it was to go on.
  std::string DescribeEnd(std::string_view aWhat) const;
  /// This attempt failed; the next one goes on behind the last whole event.
  void EndAttempt() { events_.Continue(); }
  /// Another attempt could still give the caller a whole answer.
  bool CanGoOn() const;
  /// This attempt's answer ends the caller's; returns the bytes still due.
  std::string TakeLast();

  /// The answer to the caller has begun.
  bool HasBegun() const { return begun_; }
  /// Last event that the caller has; empty for none.
  const std::string& LastEventId() const { return events_.LastId(); }
  int64_t EventCount() const { return events_.Count(); }
  /// Tokens to bill. An answer of which nothing reached the caller is free.
  ledger::Tokens UsedTokens() const;

private:
  /// The caller already had events when this attempt began.
  bool IsContinuation() const;
  /// The answer of this attempt is no part of the stream that it continues.
  bool HeadDiffers() const;
  RelayOutput FeedEvents(std::string_view aBytes);
  RelayOutput FeedBody(std::string_view aBytes);

  AnswerRelayOptions options_;
  ForwardResponseHead answer_;
  /// Head of the answer with which the caller's stream began.
  ForwardResponseHead firstAnswer_;
  /// Held back.
  std::string body_;
  EventSplitter events_;
  /// Last event that the caller had when this attempt began; empty for none.
  std::string continuesAfter_;
  /// Events that the caller had when this attempt began.
  int64_t eventsBefore_ = 0;
  bool begun_ = false;
  /// An answer that is no stream has gone to the caller, whole or in part.
  bool passedOn_ = false;
};

} // namespace cactuswick::router

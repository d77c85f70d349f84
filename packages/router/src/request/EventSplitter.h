#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace cactuswick::router {

/// Splits the bytes of a server-sent event stream into complete events, so that
/// an interrupted stream never delivers a partial event. Events may arrive in
/// many small pieces or never end: each byte is scanned once, and the owner
/// ends a stream whose event exceeds the limit. Pure.
class EventSplitter
{
public:
  /// Maximum size of one event in bytes.
  static constexpr size_t kMaxEventBytes = size_t{ 256 } << 10;

  /// Consumes bytes; returns the events that are complete with them.
  std::string Feed(std::string_view aBytes);

  /// Whether another endpoint can continue the stream: it has no event yet, or
  /// the id of its last event is a number, after which the other can resume.
  bool CanContinue() const { return count_ == 0 || lastIdIsNumber_; }
  /// Continues the stream with another endpoint's bytes: discards a partial
  /// event and from now on drops numbered events that were already returned.
  void Continue();
  /// Whether there are bytes after the last complete event.
  bool HasPartialEvent() const { return !buffer_.empty(); }
  /// Whether the event that is still incomplete exceeds kMaxEventBytes.
  bool IsEventTooLarge() const { return buffer_.size() > kMaxEventBytes; }
  /// Returns and removes the bytes after the last complete event.
  std::string TakePartialEvent();

  /// Id of the last complete event that has one.
  const std::string& LastId() const { return lastId_; }
  /// Sets the id of the event after which the caller resumes.
  void SetLastId(std::string aId) { lastId_ = std::move(aId); }
  int64_t Count() const { return count_; }

private:
  /// Returns false for an event that was already returned; counts others.
  bool AcceptEvent(std::string_view aEvent);

  std::string buffer_;
  /// Length of the prefix of buffer_ in which no event ends.
  size_t scannedBytes_ = 0;
  std::string lastId_;
  int64_t count_ = 0;
  /// The id of the last event that is no comment is a number.
  bool lastIdIsNumber_ = true;
  bool isContinuation_ = false;
};

} // namespace cactuswick::router

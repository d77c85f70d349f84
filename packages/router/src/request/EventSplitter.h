#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace cactuswick::router {

/// Cuts the bytes of an event stream into whole events, so that a stream that
/// breaks off is never passed on with half an event. Pure. Answers the load of
/// streams whose events come in many small pieces, or never end: each byte is
/// looked at once, and the owner ends a stream that is overlong.
class EventSplitter
{
public:
  /// Most bytes of one event.
  static constexpr size_t kMaxEventBytes = size_t{ 256 } << 10;

  /// Takes bytes; returns those of the events that they complete.
  std::string Feed(std::string_view aBytes);

  /// The stream may go on elsewhere: it has not begun, or its last event has a
  /// number, behind which another endpoint can begin.
  bool CanContinue() const { return count_ == 0 || lastIdIsNumber_; }
  /// The stream goes on elsewhere: forgets a half event, and from here on drops
  /// numbered events that were passed on before.
  void Continue();
  /// There are bytes behind the last whole event.
  bool HasPartialEvent() const { return !buffer_.empty(); }
  /// More bytes than an event may have are behind the last whole event.
  bool IsEventTooLarge() const { return buffer_.size() > kMaxEventBytes; }
  /// Bytes behind the last whole event.
  std::string TakePartialEvent();

  /// Identity of the last whole event that has one.
  const std::string& LastId() const { return lastId_; }
  /// Identity from which the caller resumes.
  void SetLastId(std::string aId) { lastId_ = std::move(aId); }
  int64_t Count() const { return count_; }

private:
  /// False when the event was passed on before.
  bool AcceptEvent(std::string_view aEvent);

  std::string buffer_;
  /// Bytes of the rest in which no event ends.
  size_t scannedBytes_ = 0;
  std::string lastId_;
  int64_t count_ = 0;
  /// The last event, comments aside, bears a number as its identity.
  bool lastIdIsNumber_ = true;
  bool isContinuation_ = false;
};

} // namespace cactuswick::router

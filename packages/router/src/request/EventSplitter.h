#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace cactuswick::router {

/// Cuts the bytes of an event stream into whole events, so that a stream that
/// breaks off is never passed on with half an event. Pure.
class EventSplitter
{
public:
  /// Takes bytes; returns those of the events that they complete.
  std::string Feed(std::string_view aBytes);

  /// Forgets a half event, before the stream goes on elsewhere.
  void DropRest() { rest_.clear(); }
  /// There are bytes behind the last whole event.
  bool HasRest() const { return !rest_.empty(); }
  /// Bytes behind the last whole event.
  std::string TakeRest();

  /// Identity of the last whole event that has one.
  const std::string& LastId() const { return lastId_; }
  /// Identity from which the caller resumes.
  void SetLastId(std::string aId) { lastId_ = std::move(aId); }
  int64_t Count() const { return count_; }

private:
  void OnEvent(std::string_view aEvent);

  std::string rest_;
  std::string lastId_;
  int64_t count_ = 0;
};

} // namespace cactuswick::router

#include "request/ResponseRelay.h"

#include <algorithm>
#include <utility>

#include "cactuswick/model/process/Text.h"
#include "request/StreamHead.h"

namespace cactuswick::router {

ResponseRelay::ResponseRelay(ResponseRelayOptions aOptions)
  : options_(std::move(aOptions))
{
  events_.SetLastId(options_.lastEventId_);
}

void
ResponseRelay::BeginAttempt()
{
  head_ = {};
  body_.clear();
  resumeEventId_ = begun_ ? events_.LastId() : "";
  eventCountAtStart_ = events_.Count();
}

bool
ResponseRelay::IsContinuation() const
{
  return options_.isStream_ && eventCountAtStart_ > 0;
}

bool
ResponseRelay::HeadDiffers() const
{
  return IsContinuation() && !HasSameStatusAndMediaType(firstHead_, head_);
}

RelayOutput
ResponseRelay::Feed(std::string_view aBytes)
{
  if (head_.status_ == 0 || HeadDiffers()) {
    return {};
  }
  return options_.isStream_ && head_.IsSuccess() ? FeedEvents(aBytes)
                                                 : FeedBody(aBytes);
}

RelayOutput
ResponseRelay::FeedEvents(std::string_view aBytes)
{
  RelayOutput output{ .bytes_ = events_.Feed(aBytes) };
  output.eventTooLarge_ = events_.IsEventTooLarge();
  output.hasEvents_ = !output.bytes_.empty();
  if (output.hasEvents_ && !std::exchange(begun_, true)) {
    firstHead_ = head_;
    output.startsResponse_ = true;
  }
  return output;
}

RelayOutput
ResponseRelay::FeedBody(std::string_view aBytes)
{
  if (begun_) {
    return { .bytes_ = std::string(aBytes) };
  }
  body_.append(aBytes);
  if (body_.size() <= kMaxBufferedBytes) {
    return {};
  }
  begun_ = true;
  bodyForwarded_ = true;
  return { .startsResponse_ = true, .bytes_ = std::exchange(body_, {}) };
}

AttemptEnd
ResponseRelay::ClassifyEnd(bool aFramingComplete, bool aEndsByClose) const
{
  return ClassifyAttemptEnd(
    { .framingComplete_ = aFramingComplete,
      .endsByClose_ = aEndsByClose,
      .status_ = head_.status_,
      .notRun_ = head_.notRun_,
      .continuesStream_ = IsContinuation(),
      .headDiffers_ = HeadDiffers(),
      .hasNoNewEvent_ =
        options_.isStream_ && events_.Count() == eventCountAtStart_,
      .hasPartialEvent_ = options_.isStream_ && events_.HasPartialEvent() });
}

std::string
ResponseRelay::DescribeEnd(std::string_view aLabel) const
{
  std::string text(aLabel);
  if (head_.status_ != 0) {
    model::AppendTo(text, "/", head_.status_);
  }
  if (!resumeEventId_.empty()) {
    model::AppendTo(text, "@", resumeEventId_);
  }
  return text;
}

bool
ResponseRelay::CanRetry() const
{
  const bool hasEvents = options_.isStream_ && events_.Count() > 0;
  return !begun_ || (hasEvents && options_.resumable_ && events_.CanContinue());
}

std::string
ResponseRelay::TakeRemainder()
{
  bodyForwarded_ = true;
  return std::exchange(body_, {}) + events_.TakePartialEvent();
}

ledger::Tokens
ResponseRelay::UsedTokens() const
{
  const bool delivered =
    events_.Count() > 0 || (bodyForwarded_ && head_.IsSuccess());
  if (!delivered) {
    return 0;
  }
  // A response that is no stream does not show its length in tokens, so it is
  // billed at the maximum.
  const ledger::Tokens maxOutput = options_.maxOutputTokens_;
  const ledger::Tokens output =
    options_.isStream_
      ? std::min(maxOutput, events_.Count() * options_.tokensPerEvent_)
      : maxOutput;
  return options_.promptTokens_ + output;
}

} // namespace cactuswick::router

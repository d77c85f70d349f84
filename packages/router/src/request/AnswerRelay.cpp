#include "request/AnswerRelay.h"

#include <algorithm>
#include <utility>

#include "cactuswick/model/process/Text.h"
#include "request/StreamHead.h"

namespace cactuswick::router {

AnswerRelay::AnswerRelay(AnswerRelayOptions aOptions)
  : options_(std::move(aOptions))
{
  events_.SetLastId(options_.lastEventId_);
}

void
AnswerRelay::BeginAttempt()
{
  answer_ = {};
  body_.clear();
  resumeEventId_ = begun_ ? events_.LastId() : "";
  eventCountAtStart_ = events_.Count();
}

bool
AnswerRelay::IsContinuation() const
{
  return options_.isStream_ && eventCountAtStart_ > 0;
}

bool
AnswerRelay::HeadDiffers() const
{
  return IsContinuation() && !HasSameStatusAndMediaType(firstAnswer_, answer_);
}

RelayOutput
AnswerRelay::Feed(std::string_view aBytes)
{
  if (answer_.status_ == 0 || HeadDiffers()) {
    return {};
  }
  return options_.isStream_ && answer_.IsSuccess() ? FeedEvents(aBytes)
                                                   : FeedBody(aBytes);
}

RelayOutput
AnswerRelay::FeedEvents(std::string_view aBytes)
{
  RelayOutput output{ .bytes_ = events_.Feed(aBytes) };
  output.eventTooLarge_ = events_.IsEventTooLarge();
  output.hasEvents_ = !output.bytes_.empty();
  if (output.hasEvents_ && !std::exchange(begun_, true)) {
    firstAnswer_ = answer_;
    output.beginsAnswer_ = true;
  }
  return output;
}

RelayOutput
AnswerRelay::FeedBody(std::string_view aBytes)
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
  return { .beginsAnswer_ = true, .bytes_ = std::exchange(body_, {}) };
}

AttemptEnd
AnswerRelay::ClassifyEnd(bool aFramingComplete, bool aEndsByClose) const
{
  return ClassifyAttemptEnd(
    { .framingComplete_ = aFramingComplete,
      .endsByClose_ = aEndsByClose,
      .status_ = answer_.status_,
      .notRun_ = answer_.notRun_,
      .continuesStream_ = IsContinuation(),
      .headDiffers_ = HeadDiffers(),
      .hasNoNewEvent_ = events_.Count() == eventCountAtStart_,
      .hasPartialEvent_ = options_.isStream_ && events_.HasPartialEvent() });
}

std::string
AnswerRelay::DescribeEnd(std::string_view aWhat) const
{
  std::string text(aWhat);
  if (answer_.status_ != 0) {
    model::AppendTo(text, "/", answer_.status_);
  }
  if (!resumeEventId_.empty()) {
    model::AppendTo(text, "@", resumeEventId_);
  }
  return text;
}

bool
AnswerRelay::CanRetry() const
{
  const bool hasEvents = options_.isStream_ && events_.Count() > 0;
  return !begun_ || (hasEvents && options_.resumable_ && events_.CanContinue());
}

std::string
AnswerRelay::TakeRemainder()
{
  bodyForwarded_ = true;
  return std::exchange(body_, {}) + events_.TakePartialEvent();
}

ledger::Tokens
AnswerRelay::UsedTokens() const
{
  const bool delivered =
    events_.Count() > 0 || (bodyForwarded_ && answer_.IsSuccess());
  if (!delivered) {
    return 0;
  }
  // An answer that is no stream does not show its length in tokens, so it is
  // billed at the maximum.
  const ledger::Tokens most = options_.maxOutputTokens_;
  const ledger::Tokens output =
    options_.isStream_
      ? std::min(most, events_.Count() * options_.tokensPerEvent_)
      : most;
  return options_.promptTokens_ + output;
}

} // namespace cactuswick::router

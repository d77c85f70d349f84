#include "connection/ResponseGate.h"

#include <utility>

namespace cactuswick::transport {

namespace {

/// Limit of responses to other requests that are read before the awaited one.
constexpr size_t kMaxSkippedBytes = size_t{ 256 } << 10;
constexpr int kFirstFinalStatus = 200;

bool
IsInterim(const MessageHead& aHead)
{
  return aHead.status_ < kFirstFinalStatus;
}

} // namespace

ResponseGate::ResponseGate(ResponseGateOptions aOptions)
  : options_(std::move(aOptions))
  , reader_({ .kind_ = MessageReaderOptions::Kind::kResponses,
              .maxHeadBytes_ = options_.maxHeadBytes_ })
{
  reader_.SetRequestMethod(options_.method_);
}

std::string
ResponseGate::Pass(std::string_view aBytes)
{
  std::string passed;
  while (!ended_ && !error_) {
    const MessageStep step = reader_.Read(aBytes, &held_);
    if (step == MessageStep::kHead) {
      OnHead();
    } else if (step == MessageStep::kError) {
      error_ = reader_.Error();
    }
    if (passes_) {
      passed += std::exchange(held_, {});
    } else if (isSkipping_) {
      OnSkipped();
    }
    if (step == MessageStep::kEnd) {
      ended_ = passes_ && !IsInterim(reader_.Head());
      passes_ = false;
      isSkipping_ = false;
    }
    if (step == MessageStep::kNeedsMore) {
      break;
    }
  }
  hasSurplus_ |= ended_ && !aBytes.empty();
  return passed;
}

void
ResponseGate::OnHead()
{
  const MessageHead& head = reader_.Head();
  const bool untilClose = head.framing_ == BodyFraming::kUntilClose;
  isSkipping_ =
    !IsInterim(head) && !untilClose && options_.skips_ && options_.skips_(head);
  passes_ = !isSkipping_;
  endsByClose_ = passes_ && untilClose;
}

void
ResponseGate::OnSkipped()
{
  skippedBytes_ += held_.size();
  held_.clear();
  if (skippedBytes_ > kMaxSkippedBytes) {
    error_ = MessageError{ .kind_ = MessageErrorKind::kTooLarge,
                           .field_ = "responses to other requests",
                           .detail_ = "exceed the limit" };
  }
}

} // namespace cactuswick::transport

#include "request/AttemptEnd.h"

namespace cactuswick::router {

namespace {

constexpr int kHttpSuccess = 200;
constexpr int kHttpRedirect = 300;
constexpr int kHttpServerError = 500;

} // namespace

AttemptEnd
ClassifyAttemptEnd(const AttemptEndInput& aInput)
{
  const int status = aInput.status_;
  if (!aInput.framingComplete_ || status == 0) {
    return AttemptEnd::kTruncated;
  }
  if (aInput.notRun_) {
    return AttemptEnd::kNotRun;
  }
  const bool success = status >= kHttpSuccess && status < kHttpRedirect;
  if (aInput.continuesStream_ && (!success || aInput.headDiffers_)) {
    return AttemptEnd::kCannotContinue;
  }
  if (aInput.hasPartialEvent_ &&
      (aInput.endsByClose_ || aInput.continuesStream_)) {
    return AttemptEnd::kTruncated;
  }
  // Without a length, an endpoint that fails before its first event leaves a
  // stream that looks complete.
  if (aInput.hasNoNewEvent_ &&
      (aInput.continuesStream_ || (success && aInput.endsByClose_))) {
    return AttemptEnd::kTruncated;
  }
  return status >= kHttpServerError ? AttemptEnd::kServerError
                                    : AttemptEnd::kComplete;
}

} // namespace cactuswick::router

#include "request/AnswerEnd.h"

namespace cactuswick::router {

namespace {

constexpr int kHttpSuccess = 200;
constexpr int kHttpRedirect = 300;
constexpr int kHttpServerError = 500;

} // namespace

AnswerEnd
EndOfAnswer(const AnswerEndInput& aInput)
{
  const int status = aInput.status_;
  if (!aInput.framingIsWhole_ || status == 0) {
    return AnswerEnd::kCut;
  }
  if (aInput.notRun_) {
    return AnswerEnd::kNotRun;
  }
  const bool success = status >= kHttpSuccess && status < kHttpRedirect;
  if (aInput.continuesStream_ && (!success || aInput.headDiffers_)) {
    return AnswerEnd::kCannotFollow;
  }
  if (aInput.hasHalfEvent_ &&
      (aInput.endsByClose_ || aInput.continuesStream_)) {
    return AnswerEnd::kCut;
  }
  if (aInput.continuesStream_ && aInput.bringsNoEvent_) {
    return AnswerEnd::kCut;
  }
  return status >= kHttpServerError ? AnswerEnd::kServerError
                                    : AnswerEnd::kWhole;
}

} // namespace cactuswick::router

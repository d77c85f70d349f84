#pragma once

namespace cactuswick::router {

/// How the end of one attempt affects the response to the caller.
enum class AttemptEnd
{
  /// The response is complete and ends the response to the caller.
  kComplete,
  /// The endpoint did not run the request and never will.
  kNotRun,
  /// A complete 5xx response. It may be forwarded to the caller, but an
  /// idempotent request should be retried first.
  kServerError,
  /// A complete response that cannot continue the stream that the caller has
  /// already received in part.
  kCannotContinue,
  /// The response is missing or incomplete.
  kTruncated,
};

/// Facts about the end of one attempt's call.
struct AttemptEndInput
{
  /// The transport reached the end of the response as its framing defines it.
  bool framingComplete_ = false;
  /// The response has neither a length nor chunks: it ends when the connection
  /// closes, so a truncated response looks the same as a complete one.
  bool endsByClose_ = false;
  /// HTTP status of the response; 0 if no head was received.
  int status_ = 0;
  /// The endpoint reports that it did not run the request.
  bool notRun_ = false;
  /// The caller already has a part of the stream from earlier attempts.
  bool continuesStream_ = false;
  /// Status or media type differ from those of the stream to continue.
  bool headDiffers_ = false;
  /// The attempt is a stream and delivered no event that the caller did not
  /// have already.
  bool hasNoNewEvent_ = false;
  /// The stream has bytes after its last complete event.
  bool hasPartialEvent_ = false;
};

/// Classifies the end of an attempt. A response that is complete by itself does
/// not always complete a stream that the caller has received in part. Pure.
AttemptEnd
ClassifyAttemptEnd(const AttemptEndInput& aInput);

} // namespace cactuswick::router

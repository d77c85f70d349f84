#pragma once

namespace cactuswick::router {

/// What the end of one attempt means for the answer to the caller.
enum class AttemptEnd
{
  /// Nothing is missing: the caller's answer ends with it.
  kComplete,
  /// The endpoint did not run the request and never will.
  kNotRun,
  /// A whole answer that says that the endpoint failed. It may go to the
  /// caller, but an idempotent request is better tried again.
  kServerError,
  /// A whole answer that cannot follow what the caller already has.
  kCannotContinue,
  /// The answer is missing or broke off.
  kTruncated,
};

/// How the call of one attempt ended.
struct AttemptEndInput
{
  /// The transport saw the end that the answer's framing announces.
  bool framingComplete_ = false;
  /// The framing is no more than the end of the connection.
  bool endsByClose_ = false;
  /// Status of the answer; 0 when no head has come.
  int status_ = 0;
  /// The endpoint says that it did not run the request.
  bool notRun_ = false;
  /// The caller has a part of a stream, which earlier attempts began.
  bool continuesStream_ = false;
  /// The head is not that of the stream that it would continue.
  bool headDiffers_ = false;
  /// No event came that the caller does not have.
  bool hasNoNewEvent_ = false;
  /// Bytes came behind the last whole event of a stream.
  bool hasPartialEvent_ = false;
};

/// Judges an attempt by what the caller already has: an answer that is whole by
/// itself is not always the end of the answer that has begun. Pure.
AttemptEnd
ClassifyAttemptEnd(const AttemptEndInput& aInput);

} // namespace cactuswick::router

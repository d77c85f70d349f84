#include "request/ModelExchange.h"

#include <algorithm>
#include <utility>

#include "cactuswick/model/process/Error.h"
#include "cactuswick/model/process/Text.h"
#include "request/MalformedResponseLog.h"

namespace cactuswick::router {

namespace {

using model::ErrorKind;
using model::MakeError;
using routing::AttemptOutcome;
using telemetry::Counter;

constexpr int kHttpTooManyRequests = 429;
constexpr int kHttpUnavailable = 503;
constexpr int kHttpServerError = 500;
/// Unsent bytes above which a slow caller is disconnected.
constexpr size_t kMaxPendingBytes = size_t{ 4 } << 20;
constexpr std::string_view kClosingEvent = "data: [DONE]\n\n";

/// Returns whether the status means that the engine did not run the request.
bool
IsEngineRefusal(int aStatus)
{
  return aStatus == kHttpTooManyRequests || aStatus == kHttpUnavailable;
}

} // namespace

ModelExchange::ModelExchange(RequestDependencies& aDependencies,
                             std::unique_ptr<transport::HttpExchange> aExchange,
                             RequestInfo aInfo,
                             ChatRequest aRequest,
                             std::function<void()> aOnEnd)
  : dependencies_(aDependencies)
  , exchange_(std::move(aExchange))
  , telemetry_(aDependencies.metrics_, aDependencies.burn_, std::move(aInfo))
  , attempts_(AttemptsOptionsFor(aDependencies, telemetry_.Info()))
  , request_(std::move(aRequest))
  , onEnd_(std::move(aOnEnd))
{
}

void
ModelExchange::Start()
{
  exchange_->SetClosedHook([this] { OnCallerDisconnected(); });
  const ledger::Tokens bound =
    request_.promptTokensBound_ + request_.maxTokens_;
  dependencies_.biller_.Reserve(
    { .budget_ = Info().budget_, .amount_ = bound, .owner_ = Info().id_ },
    [this, bound](const absl::Status& aStatus) {
      reserved_ = aStatus.ok() ? bound : 0;
      OnReserved(aStatus);
    });
}

void
ModelExchange::OnReserved(const absl::Status& aStatus)
{
  if (!aStatus.ok()) {
    Refuse(aStatus);
    return;
  }
  Enqueue();
}

void
ModelExchange::Enqueue()
{
  attempts_.Enqueue(
    { .queued_ = QueuedRequestOf(Info(), reserved_),
      .serves_ = request_.model_,
      .prefixHash_ = request_.prefixHash_,
      .onPlaced_ = [this](const model::Announcement& aEndpoint,
                          ledger::Tokens) { OnPlaced(aEndpoint); },
      .onExpired_ = [this] { RefuseOrFailUnknown(QueueDeadlineError()); } });
}

void
ModelExchange::OnPlaced(const model::Announcement& aEndpoint)
{
  telemetry_.OnPlaced();
  parser_ = {};
  body_.clear();
  httpStatus_ = 0;
  transport::HttpCallOptions options =
    CallOptionsTo(aEndpoint, dependencies_.limits_);
  options.path_ = "/v1/chat/completions";
  options.headers_ = { { "Content-Type", kJsonType },
                       { "X-Request-Id", Info().key_ } };
  options.body_ = EngineRequestBody(
    exchange_->Body(), request_.maxTokens_, Info().rank_.priority_);
  options.onHeaders_ = [this](int aStatus, const transport::Headers&) {
    OnHeaders(aStatus);
  };
  options.onData_ = [this](std::string_view aData) { OnData(aData); };
  options.onDone_ = [this](const absl::Status& aStatus) { OnDone(aStatus); };
  call_ = std::make_unique<transport::HttpCall>(dependencies_.loop_,
                                                std::move(options));
}

void
ModelExchange::OnHeaders(int aStatus)
{
  httpStatus_ = aStatus;
}

void
ModelExchange::OnData(std::string_view aData)
{
  if (ended_) {
    return;
  }
  if (httpStatus_ == kHttpOk && request_.stream_) {
    ForwardEvents(parser_.Feed(aData));
    if (!ended_ && parser_.IsEventTooLarge()) {
      OnDone(MakeError(ErrorKind::kTooLarge,
                       attempts_.Endpoint().endpoint_,
                       "a stream event exceeds the size limit"));
    }
    return;
  }
  if (body_.size() + aData.size() <=
      static_cast<size_t>(dependencies_.limits_.maxAnswerBytes_)) {
    body_.append(aData);
  }
}

void
ModelExchange::ForwardEvents(const std::string& aEvents)
{
  if (aEvents.empty()) {
    return;
  }
  if (!streamStarted_) {
    streamStarted_ = true;
    telemetry_.OnFirstToken();
    dependencies_.dispatcher_.OnFirstToken(attempts_.Endpoint().endpoint_,
                                           attempts_.TimeAtEndpointMs());
    exchange_->StartStream(kHttpOk,
                           { { "Content-Type", "text/event-stream" },
                             { "Cache-Control", "no-cache" } });
  }
  exchange_->SendChunk(aEvents);
  if (exchange_->PendingBytes() > kMaxPendingBytes) {
    exchange_->Abort();
    OnCallerDisconnected();
  }
}

void
ModelExchange::OnDone(const absl::Status& aStatus)
{
  LogIfMalformed(*call_, Info().logId_, attempts_.Endpoint().endpoint_);
  const bool complete =
    aStatus.ok() && (!request_.stream_ || parser_.IsComplete());
  if (complete && httpStatus_ == kHttpOk) {
    OnResponseComplete();
    return;
  }
  if (aStatus.ok() && IsEngineRefusal(httpStatus_)) {
    OnAttemptFailed(MakeError(
      ErrorKind::kUpstreamFailed, "", "the engine refused the request"));
    return;
  }
  if (aStatus.ok() && httpStatus_ != kHttpOk &&
      httpStatus_ < kHttpServerError) {
    LeaveEndpoint(AttemptOutcome::kNeutral, "rejected");
    Refuse(
      MakeError(ErrorKind::kMalformed, "", "the engine rejected the request"));
    return;
  }
  if (call_->WasDispatched()) {
    attempts_.MarkMayHaveRun();
  }
  OnAttemptFailed(aStatus.ok()
                    ? MakeError(ErrorKind::kUpstreamFailed,
                                "",
                                "the engine's response is incomplete")
                    : aStatus);
}

void
ModelExchange::OnAttemptFailed(const absl::Status& aStatus)
{
  attempts_.RecordAttempt(true);
  LeaveEndpoint(AttemptOutcome::kFailed, "failed");
  // A model request may run more than once, but its response cannot restart
  // once a part of it was streamed.
  if (!streamStarted_ && attempts_.TryRetry(true)) {
    Enqueue();
  } else {
    RefuseOrFailUnknown(aStatus);
  }
}

void
ModelExchange::RefuseOrFailUnknown(const absl::Status& aStatus)
{
  attempts_.MayHaveRun() ? FailOutcomeUnknown(aStatus) : Refuse(aStatus);
}

void
ModelExchange::LeaveEndpoint(AttemptOutcome aOutcome, std::string_view aLabel)
{
  call_.reset();
  attempts_.ReleaseSlot(aOutcome, aLabel);
}

RequestLogEntry
ModelExchange::MakeLogEntry(int aStatus) const
{
  return { aStatus,
           model::Concat("model=",
                         request_.model_,
                         " workspace=",
                         Info().workspace_.name_,
                         " attempts=",
                         attempts_.History(),
                         " first_ms=",
                         telemetry_.FirstTokenMs(),
                         " total_ms=",
                         telemetry_.TotalMs(),
                         " bound=",
                         request_.promptTokensBound_ + request_.maxTokens_) };
}

ledger::Tokens
ModelExchange::ReportedOrEstimatedTokens() const
{
  const auto reported =
    request_.stream_ ? parser_.Usage() : ParseTotalTokens(body_);
  const ledger::Tokens estimate =
    request_.stream_ ? parser_.ContentEvents() : reserved_;
  return reported.value_or(estimate);
}

void
ModelExchange::OnResponseComplete()
{
  LeaveEndpoint(AttemptOutcome::kServed, "whole");
  const ledger::Tokens reported = ReportedOrEstimatedTokens();
  const ledger::Tokens used = std::min(reserved_, reported);
  telemetry_.OnUsage(reported, reserved_);
  dependencies_.metrics_.Count(Counter::kTokensStreamed,
                               parser_.ContentEvents());
  dependencies_.dispatcher_.OnFinished(
    request_.model_, QueuedRequestOf(Info(), reserved_), used);
  Settle(used, [this](const absl::Status& aStatus) { OnSettled(aStatus); });
}

void
ModelExchange::Settle(ledger::Tokens aUsed, Biller::SettleHook aHook)
{
  settling_ = true;
  const ledger::Tokens reserved = std::exchange(reserved_, 0);
  dependencies_.biller_.Settle(
    telemetry_.SettleOf(aUsed), reserved, std::move(aHook));
}

void
ModelExchange::OnSettled(const absl::Status& aStatus)
{
  settling_ = false;
  if (exchange_->IsClosed()) {
    telemetry_.RecordCallerDisconnected(MakeLogEntry(0));
    End();
    return;
  }
  if (!aStatus.ok()) {
    FailOutcomeUnknown(aStatus);
    return;
  }
  if (request_.stream_) {
    exchange_->SendChunk(kClosingEvent);
    exchange_->EndStream();
  } else {
    exchange_->Reply(
      kHttpOk,
      { { "Content-Type", kJsonType },
        { kOutcomeHeader, std::string(NameOf(Outcome::kWhole)) } },
      body_);
  }
  telemetry_.RecordComplete(MakeLogEntry(kHttpOk));
  End();
}

void
ModelExchange::OnCallerDisconnected()
{
  if (ended_ || settling_) {
    return;
  }
  dependencies_.biller_.CancelReserve(Info().id_);
  attempts_.Cancel();
  const bool running = attempts_.IsAtEndpoint();
  const ledger::Tokens used =
    running ? std::min(reserved_, ReportedOrEstimatedTokens()) : 0;
  LeaveEndpoint(AttemptOutcome::kNeutral, "caller_gone");
  telemetry_.RecordCallerDisconnected(MakeLogEntry(0));
  if (!streamStarted_ || used == 0) {
    dependencies_.biller_.Release(Info().budget_, reserved_);
    End();
    return;
  }
  // Bills the part that the caller received. A retry under the same key is only
  // billed for what exceeds it.
  Settle(used, [this](const absl::Status&) { End(); });
}

void
ModelExchange::Refuse(const absl::Status& aStatus)
{
  if (streamStarted_) {
    FailOutcomeUnknown(aStatus);
    return;
  }
  dependencies_.biller_.Release(Info().budget_, reserved_);
  ReplyError(*exchange_, aStatus, Outcome::kRefused);
  telemetry_.RecordRefused(
    aStatus,
    dependencies_.dispatcher_.Serves(request_.model_),
    MakeLogEntry(model::HttpStatusOf(model::KindOf(aStatus))));
  End();
}

void
ModelExchange::FailOutcomeUnknown(const absl::Status& aStatus)
{
  const auto unknown = MakeError(ErrorKind::kOutcomeUnknown,
                                 model::FieldOf(aStatus),
                                 std::string(aStatus.message()));
  dependencies_.biller_.Release(Info().budget_, reserved_);
  if (streamStarted_) {
    // An error event followed by an abort, so that the caller cannot take the
    // stream for complete.
    exchange_->AbortAfter(model::Concat(
      "event: error\ndata: ", ErrorBody(unknown, Outcome::kUnknown), "\n\n"));
  } else {
    ReplyError(*exchange_, unknown, Outcome::kUnknown);
  }
  telemetry_.RecordUnknownOutcome(
    aStatus,
    MakeLogEntry(
      streamStarted_ ? 0 : model::HttpStatusOf(ErrorKind::kOutcomeUnknown)));
  End();
}

void
ModelExchange::End()
{
  if (!std::exchange(ended_, true)) {
    onEnd_();
  }
}

} // namespace cactuswick::router

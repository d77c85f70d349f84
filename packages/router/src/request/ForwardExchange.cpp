#include "request/ForwardExchange.h"

#include <algorithm>
#include <utility>

#include "cactuswick/model/process/Error.h"
#include "cactuswick/model/process/Text.h"
#include "request/ForwardPrompt.h"
#include "request/MalformedResponseLog.h"
#include "request/ResponseOwner.h"

namespace cactuswick::router {

namespace {

using model::ErrorKind;
using model::MakeError;
using routing::AttemptOutcome;
using transport::EventLoop;

constexpr int kHttpMisdirected = 421;
constexpr int64_t kConnectTimeoutMs = 700;
/// Minimum time before the deadline to start another attempt.
constexpr int64_t kMinAttemptMs = 60;
/// Unsent bytes for a slow caller above which reading from the endpoint pauses.
constexpr size_t kMaxPendingBytes = size_t{ 256 } << 10;
constexpr int64_t kBackpressurePollMs = 20;
/// Events after which a response shows that the prompt does no harm.
constexpr int64_t kEventsOfAnswer = 3;

/// Returns the history label of an attempt without a complete response.
std::string_view
TruncationLabel(const absl::Status& aStatus, bool aSent)
{
  if (model::KindOf(aStatus) == ErrorKind::kTooLarge) {
    return "endless";
  }
  return aSent ? "cut" : "unreached";
}

} // namespace

ForwardExchange::ForwardExchange(
  ForwardDependencies& aDependencies,
  std::unique_ptr<transport::HttpExchange> aExchange,
  ForwardPlan aPlan,
  std::function<void()> aOnEnd)
  : dependencies_(aDependencies)
  , exchange_(std::move(aExchange))
  , plan_(std::move(aPlan))
  , onEnd_(std::move(aOnEnd))
  , telemetry_(aDependencies.metrics_,
               aDependencies.burn_,
               RequestInfoOf(plan_))
  , attempts_({ .dispatcher_ = aDependencies.dispatcher_,
                .metrics_ = aDependencies.metrics_,
                .maxSends_ = plan_.route_.maxAttempts_,
                .deadlineMs_ = plan_.deadlines_.attemptMs_,
                .minTimeLeftMs_ = kMinAttemptMs,
                .tryTakeRetry_ = [this] { return plan_.tryTakeRetry_(); } })
  , relay_(RelayOptionsOf(plan_))
  , prefill_(aDependencies.dispatcher_, aDependencies.metrics_)
  , deadlineTimer_(aDependencies.loop_, [this] { OnDeadline(); })
  , backpressureTimer_(aDependencies.loop_, [this] { ApplyBackpressure(); })
{
}

void
ForwardExchange::Start()
{
  exchange_->SetClosedHook([this] { OnCallerDisconnected(); });
  deadlineTimer_.StartOnce(
    std::max(int64_t{ 1 }, plan_.deadlines_.attemptMs_ - EventLoop::NowMs()));
  if (TakesUpStream(plan_)) {
    FindOrigin();
  } else {
    Admit();
  }
}

void
ForwardExchange::Admit()
{
  if (plan_.probedPart_.empty()) {
    Reserve();
  } else {
    RequestProbe();
  }
}

void
ForwardExchange::Reserve()
{
  if (plan_.tokensToReserve_ == 0) {
    Enqueue();
    return;
  }
  const int64_t sinceMs = EventLoop::NowMs();
  const int64_t waitingBefore =
    dependencies_.biller_.GrantWaitStatusOf(plan_.budget_).waiting_;
  dependencies_.biller_.Reserve({ .budget_ = plan_.budget_,
                                  .amount_ = plan_.tokensToReserve_,
                                  .owner_ = plan_.id_,
                                  .takesUp_ = TakesUpStream(plan_) },
                                [=, this](const absl::Status& aStatus) {
                                  RecordGrantWait(sinceMs, waitingBefore);
                                  if (!aStatus.ok()) {
                                    Fail(aStatus);
                                    return;
                                  }
                                  reserved_ = plan_.tokensToReserve_;
                                  Enqueue();
                                });
}

bool
ForwardExchange::IsResponseUnderWay() const
{
  return relay_.HasBegun() || (call_ && relay_.Head().status_ != 0);
}

int64_t
ForwardExchange::QueueDeadlineMs() const
{
  return relay_.HasBegun() ? plan_.deadlines_.endpointMs_
                           : plan_.deadlines_.queueMs_;
}

void
ForwardExchange::Enqueue()
{
  if (RefuseIfBackingOff() || FailIfVersionGone()) {
    return;
  }
  attempts_.Enqueue(
    { .queued_ = { .id_ = plan_.id_,
                   .workspace_ = plan_.workspace_,
                   .priority_ = plan_.priority_,
                   .cost_ =
                     std::max(ledger::Tokens{ 1 }, plan_.tokensToReserve_),
                   .deadlineMs_ = QueueDeadlineMs() },
      .serves_ = plan_.service_,
      .prompt_ = PromptLoadOf(plan_.request_),
      .softwareVersion_ =
        origin_ ? std::optional(origin_->softwareVersion_) : std::nullopt,
      .onPlaced_ =
        [this](const model::Announcement& aEndpoint,
               ledger::Tokens aPrefillTokens) {
          OnPlaced(aEndpoint, aPrefillTokens);
        },
      .onExpired_ = [this] { Fail(QueueDeadlineError()); },
      .onEvacuated_ = [this] { OnAllEvacuated(); } });
}

void
ForwardExchange::OnPlaced(const model::Announcement& aEndpoint,
                          ledger::Tokens aPrefillTokens)
{
  telemetry_.OnPlaced();
  prefill_.Begin(aPrefillTokens);
  answered_ = false;
  skippedResponses_ = 0;
  if (FailIfQuarantined()) {
    return;
  }
  relay_.BeginAttempt();
  tunnel_ = dependencies_.path_.ChooseTunnel(triedTunnels_);
  lastReceivedMs_ = EventLoop::NowMs();
  transport::HttpCallOptions options = CallOptionsFor(aEndpoint);
  options.onConnected_ = [this](int64_t aElapsedMs) {
    lastReceivedMs_ = EventLoop::NowMs();
    dependencies_.linkDelay_.Observe(aElapsedMs, lastReceivedMs_);
    if (!tunnel_) {
      dependencies_.path_.OnConnected();
    }
    attempts_.OnSent();
  };
  options.skips_ = [this](int aStatus, const transport::Headers& aHeaders) {
    return SkipsResponse(aStatus, aHeaders);
  };
  options.onHeaders_ = [this](int aStatus, const transport::Headers& aHeaders) {
    OnHead(aStatus, aHeaders);
  };
  options.onData_ = [this](std::string_view aData) { OnData(aData); };
  options.onDone_ = [this](const absl::Status& aStatus) {
    OnCallDone(aStatus);
  };
  call_ = std::make_unique<transport::HttpCall>(dependencies_.loop_,
                                                std::move(options));
  // On a connection from the pool it is sent at once.
  if (call_->WasDispatched()) {
    attempts_.OnSent();
  }
}

transport::HttpCallOptions
ForwardExchange::CallOptionsFor(const model::Announcement& aEndpoint) const
{
  const int64_t now = EventLoop::NowMs();
  const int64_t left =
    std::max(int64_t{ 1 }, plan_.deadlines_.endpointMs_ - now);
  const int64_t callerLeft =
    std::max(int64_t{ 1 }, plan_.deadlines_.callerMs_ - now);
  const auto address = transport::ParseAddress("address", aEndpoint.address_);
  const ForwardMetadata send{ .endpoint_ = aEndpoint.endpoint_,
                              .workspace_ = plan_.workspace_,
                              .priority_ = plan_.priority_,
                              .deadlineMs_ = left,
                              .lastEventId_ = relay_.LastEventId(),
                              .isGeneration_ =
                                plan_.request_.promptTokens_.has_value() };
  return { .address_ = address.value_or(transport::Address{}),
           .tunnel_ = tunnel_,
           .method_ = exchange_->Method(),
           .path_ = exchange_->Uri(),
           .headers_ = dependencies_.dialect_.encode_(plan_.request_, send),
           .body_ = exchange_->SharedBody(),
           .connectTimeoutMs_ = std::min(
             dependencies_.linkDelay_.ConnectTimeoutMs(kConnectTimeoutMs, now),
             left),
           .firstByteTimeoutMs_ = left + kConnectTimeoutMs,
           .progressTimeoutMs_ = callerLeft + kConnectTimeoutMs,
           .pool_ = &dependencies_.pool_,
           // A late copy of the endpoint's earlier response would carry this
           // request's id and be taken for the response to this attempt.
           .opensNewConnection_ = attempts_.HasTried(aEndpoint),
           // When the router between dies, its connection ends as a whole
           // response without a length does.
           .acceptsUnframed_ = !tunnel_ };
}

void
ForwardExchange::OnHead(int aStatus, const transport::Headers& aHeaders)
{
  OnReceived();
  ForwardResponseHead head =
    dependencies_.dialect_.decodeResponseHead_(aStatus, aHeaders);
  if (OwnerOf(head, plan_.request_.id_) != ResponseOwner::kThisRequest) {
    OnCallDone(MakeError(ErrorKind::kUpstreamFailed,
                         attempts_.Endpoint().endpoint_,
                         "the response belongs to another request"));
    return;
  }
  ApplySignals(head.signals_);
  relay_.SetHead(std::move(head));
  if (!IsMisdirected()) {
    dependencies_.quarantine_.OnAlive(attempts_.Endpoint(),
                                      attempts_.TimeAtEndpointMs());
  }
}

bool
ForwardExchange::IsMisdirected() const
{
  return relay_.Head().status_ == kHttpMisdirected;
}

void
ForwardExchange::OnData(std::string_view aData)
{
  OnReceived();
  const RelayOutput output = relay_.Feed(aData);
  if (output.startsResponse_) {
    telemetry_.OnFirstToken();
    exchange_->StartStream(relay_.Head().status_, relay_.Head().headers_);
    attempts_.SetDeadline(plan_.deadlines_.endpointMs_);
    RecordOrigin();
  }
  if (output.hasEvents_) {
    prefill_.OnEvent(attempts_);
    if (relay_.AttemptEventCount() >= kEventsOfAnswer) {
      RecordAnswer();
    }
  }
  if (!output.bytes_.empty()) {
    exchange_->SendChunk(output.bytes_);
    ApplyBackpressure();
  }
  if (output.eventTooLarge_) {
    OnCallDone(MakeError(ErrorKind::kTooLarge,
                         attempts_.Endpoint().endpoint_,
                         "a stream event exceeds the size limit"));
  }
}

void
ForwardExchange::ApplyBackpressure()
{
  if (!call_ || ended_) {
    return;
  }
  const bool slow = exchange_->PendingBytes() > kMaxPendingBytes;
  call_->SetReading(!slow);
  if (slow) {
    backpressureTimer_.StartOnce(kBackpressurePollMs);
  }
}

void
ForwardExchange::OnCallDone(const absl::Status& aStatus)
{
  if (ended_ || !call_) {
    return;
  }
  const bool sent = call_->WasDispatched();
  RecordPath(sent);
  if (tunnel_ && !sent) {
    OnNoTunnel(aStatus);
    return;
  }
  attempts_.RecordAttempt(sent);
  LogIfMalformed(*call_, plan_.request_.id_, attempts_.Endpoint().endpoint_);
  switch (relay_.ClassifyEnd(aStatus.ok(), call_->EndsByClose())) {
    case AttemptEnd::kNotRun:
      OnNotRun();
      return;
    case AttemptEnd::kComplete:
      OnResponseComplete();
      return;
    case AttemptEnd::kServerError:
      OnServerError();
      return;
    case AttemptEnd::kCannotContinue:
      OnAttemptUnusable(relay_.Head().IsSuccess() ? "other_form"
                                                  : "server_error",
                        MakeError(ErrorKind::kUpstreamFailed,
                                  attempts_.Endpoint().endpoint_,
                                  "the endpoint did not continue the stream"),
                        sent);
      return;
    case AttemptEnd::kTruncated:
      if (sent) {
        RecordBreak();
      }
      OnAttemptUnusable(TruncationLabel(aStatus, sent),
                        aStatus.ok() ? MakeError(ErrorKind::kUpstreamFailed,
                                                 attempts_.Endpoint().endpoint_,
                                                 "the response is incomplete")
                                     : aStatus,
                        sent);
  }
}

void
ForwardExchange::OnServerError()
{
  const bool retries =
    plan_.route_.IsIdempotent() && !relay_.HasBegun() && TryRetry(true);
  if (!retries) {
    OnResponseComplete();
    return;
  }
  attempts_.MarkMayHaveRun();
  LeaveEndpoint(AttemptOutcome::kFailed, "server_error");
  Enqueue();
}

void
ForwardExchange::OnAttemptUnusable(std::string_view aLabel,
                                   const absl::Status& aStatus,
                                   bool aWasSent)
{
  if (aWasSent) {
    attempts_.MarkMayHaveRun();
  }
  // The endpoint is not to blame for what may be this router's own partition or
  // the router between.
  const bool mayBeOthers = tunnel_ || dependencies_.path_.IsInDoubt();
  LeaveEndpoint(
    mayBeOthers ? AttemptOutcome::kNeutral : AttemptOutcome::kFailed, aLabel);
  OnAttemptFailed(aStatus, aWasSent);
}

void
ForwardExchange::OnNotRun()
{
  // A failed outcome ejects the endpoint, so that no other request is sent to
  // the one that has taken over its address.
  LeaveEndpoint(IsMisdirected() ? AttemptOutcome::kFailed
                                : AttemptOutcome::kNeutral,
                "not_run");
  OnAttemptFailed(MakeError(ErrorKind::kQueueFull,
                            attempts_.Endpoint().endpoint_,
                            "the endpoint refused the request"),
                  true);
}

bool
ForwardExchange::TryRetry(bool aWasSent)
{
  const bool mayCrashEndpoint =
    brokeUnanswered_ &&
    (isProbe_ || dependencies_.quarantine_.IsSuspect(plan_.prompt_));
  return !mayCrashEndpoint && !exchange_->IsClosed() &&
         attempts_.TryRetry(aWasSent);
}

void
ForwardExchange::OnAttemptFailed(const absl::Status& aStatus, bool aWasSent)
{
  relay_.EndAttempt();
  const bool safeToRetry =
    plan_.route_.IsIdempotent() || !attempts_.MayHaveRun();
  if (safeToRetry && relay_.CanRetry() && TryRetry(aWasSent)) {
    Enqueue();
    return;
  }
  Fail(aStatus);
}

void
ForwardExchange::OnResponseComplete()
{
  // A stream that ended with its connection may have been broken off.
  const bool endsForCertain =
    !call_->EndsByClose() || plan_.route_.type_ != model::RouteType::kStreaming;
  if (relay_.Head().IsSuccess() && endsForCertain) {
    RecordAnswer();
  }
  if (skippedResponses_ > 0) {
    dependencies_.metrics_.Count(telemetry::Counter::kResponsesAfterSkipped);
  }
  LeaveEndpoint(AttemptOutcome::kServed, "whole");
  attempts_.MarkMayHaveRun();
  const std::string remainder = relay_.TakeRemainder();
  StopAndSettle();
  const ForwardResponseHead& head = relay_.Head();
  if (!relay_.HasBegun()) {
    exchange_->Reply(head.status_, head.headers_, remainder);
  } else {
    exchange_->SendChunk(remainder);
    exchange_->EndStream();
  }
  telemetry_.RecordComplete(MakeLogEntry(head.status_));
  onEnd_();
}

} // namespace cactuswick::router

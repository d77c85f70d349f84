#include "request/ForwardExchange.h"

#include <algorithm>
#include <utility>

#include "cactuswick/model/process/Error.h"
#include "cactuswick/telemetry/process/Log.h"
#include "request/ForwardPrompt.h"

namespace cactuswick::router {

namespace {

using model::Concat;
using model::ErrorKind;
using model::MakeError;
using routing::AttemptOutcome;
using transport::EventLoop;

constexpr int kHttpMisdirected = 421;
/// Longest wait for a connection to an endpoint.
constexpr int64_t kConnectMs = 700;
/// An attempt with less time than this left is not worth making.
constexpr int64_t kLeastAttemptMs = 60;
/// Bytes that a slow caller may leave in the router.
constexpr size_t kMaxPendingBytes = size_t{ 256 } << 10;
constexpr int64_t kSlowCallerMs = 20;
/// Callers whose budget is used up come back when it may have been raised.
constexpr int64_t kTopUpWaitMs = 30'000;

/// How an attempt that brought no whole answer stands in the history.
std::string_view
NameOfCut(const absl::Status& aStatus, bool aSent)
{
  if (model::KindOf(aStatus) == ErrorKind::kTooLarge) {
    return "endless";
  }
  return aSent ? "cut" : "unreached";
}

/// What the record keeps of a forwarded request. There may be too many
/// workspaces to keep objectives for each of them.
RequestInfo
InfoOf(const ForwardPlan& aPlan)
{
  return { .id_ = aPlan.id_,
           .logId_ = aPlan.request_.id_,
           .workspace_ = { .name_ = aPlan.workspace_ },
           .burnsByWorkspace_ = false,
           .rank_ = { .name_ = Concat("priority-", aPlan.priority_),
                      .priority_ = aPlan.priority_,
                      .firstTokenTargetMs_ = aPlan.route_.latencyTargetMs_ },
           .budget_ = aPlan.budget_,
           .deadlineMs_ = aPlan.deadlineMs_,
           .startMs_ = aPlan.startMs_ };
}

AnswerRelayOptions
RelayOptions(const ForwardPlan& aPlan)
{
  const auto& request = aPlan.request_;
  return { .isStream_ = aPlan.route_.type_ == model::RouteType::kStreaming,
           .resumable_ = aPlan.route_.resumable_,
           .lastEventId_ = request.lastEventId_,
           .promptTokens_ = request.promptTokens_.value_or(0),
           .maxOutputTokens_ = request.maxOutputTokens_,
           .tokensPerEvent_ = aPlan.tokensPerEvent_ };
}

} // namespace

ForwardExchange::ForwardExchange(
  ForwardServices& aServices,
  std::unique_ptr<transport::HttpExchange> aExchange,
  ForwardPlan aPlan,
  std::function<void()> aOnEnd)
  : services_(aServices)
  , exchange_(std::move(aExchange))
  , plan_(std::move(aPlan))
  , onEnd_(std::move(aOnEnd))
  , record_(aServices.metrics_, aServices.burn_, InfoOf(plan_))
  , attempts_({ .dispatcher_ = aServices.dispatcher_,
                .metrics_ = aServices.metrics_,
                .maxSends_ = plan_.route_.maxAttempts_,
                .deadlineMs_ = plan_.deadlineMs_,
                .leastLeftMs_ = kLeastAttemptMs,
                .tryRepeat_ = plan_.tryRepeat_ })
  , relay_(RelayOptions(plan_))
  , deadline_(aServices.loop_, [this] { OnDeadline(); })
  , slowCaller_(aServices.loop_, [this] { OnSlowCaller(); })
{
}

void
ForwardExchange::Start()
{
  exchange_->SetClosedHook([this] { OnCallerGone(); });
  deadline_.StartOnce(
    std::max(int64_t{ 1 }, plan_.deadlineMs_ - EventLoop::NowMs()));
  if (plan_.bound_ == 0) {
    Enqueue();
    return;
  }
  const int64_t since = EventLoop::NowMs();
  const int64_t before =
    services_.biller_.GrantWaitStatusOf(plan_.budget_).waiting_;
  services_.biller_.Reserve(plan_.budget_,
                            plan_.bound_,
                            plan_.id_,
                            [=, this](const absl::Status& aStatus) {
                              NoteGrantWait(since, before);
                              if (!aStatus.ok()) {
                                Fail(aStatus);
                                return;
                              }
                              reserved_ = plan_.bound_;
                              Enqueue();
                            });
}

void
ForwardExchange::NoteGrantWait(int64_t aSinceMs, int64_t aBefore)
{
  const int64_t waited = EventLoop::NowMs() - aSinceMs;
  services_.metrics_.Observe(telemetry::Summary::kGrantWaitMs,
                             static_cast<double>(waited));
  if (waited == 0) {
    return;
  }
  const GrantWaitStatus wait =
    services_.biller_.GrantWaitStatusOf(plan_.budget_);
  grantWait_ = Concat(" grant_wait_ms=",
                      waited,
                      " before=",
                      aBefore,
                      " waiting=",
                      wait.waiting_,
                      " ask_open_ms=",
                      wait.grantRequestAgeMs_,
                      " control_trip_ms=",
                      wait.control_.lastRoundTripMs_,
                      " control_answer_age_ms=",
                      wait.control_.lastReplyAgeMs_,
                      " control_open_ms=",
                      wait.control_.openBatchAgeMs_);
}

void
ForwardExchange::Enqueue()
{
  attempts_.Enqueue(
    { .queued_ = { .id_ = plan_.id_,
                   .workspace_ = plan_.workspace_,
                   .priority_ = plan_.priority_,
                   .cost_ = std::max(ledger::Tokens{ 1 }, plan_.bound_),
                   .deadlineMs_ = plan_.queueDeadlineMs_ },
      .serves_ = plan_.service_,
      .prompt_ = PromptOf(plan_.request_),
      .onPlaced_ =
        [this](const model::Announcement& aEndpoint, ledger::Tokens aToRead) {
          OnPlaced(aEndpoint, aToRead);
        },
      .onExpired_ = [this] { Fail(DeadlinePassed()); } });
}

void
ForwardExchange::OnPlaced(const model::Announcement& aEndpoint,
                          ledger::Tokens aToRead)
{
  record_.OnPlaced();
  toRead_ = aToRead;
  relay_.BeginAttempt();
  const int64_t left =
    std::max(int64_t{ 1 }, plan_.deadlineMs_ - EventLoop::NowMs());
  const auto address = transport::ParseAddress("address", aEndpoint.address_);
  const ForwardMetadata send{ .endpoint_ = aEndpoint.endpoint_,
                              .workspace_ = plan_.workspace_,
                              .priority_ = plan_.priority_,
                              .deadlineMs_ = left,
                              .lastEventId_ = relay_.LastEventId(),
                              .isGeneration_ =
                                plan_.request_.promptTokens_.has_value() };
  call_ = std::make_unique<transport::HttpCall>(
    services_.loop_,
    transport::HttpCallOptions{
      .address_ = address.value_or(transport::Address{}),
      .method_ = exchange_->Method(),
      .path_ = exchange_->Uri(),
      .headers_ = services_.dialect_.encode_(plan_.request_, send),
      .body_ = exchange_->Body(),
      .connectTimeoutMs_ = std::min(kConnectMs, left),
      .firstByteTimeoutMs_ = left + kConnectMs,
      .progressTimeoutMs_ = left + kConnectMs,
      .pool_ = &services_.pool_,
      .acceptsUnframed_ = true,
      .onHeaders_ =
        [this](int aStatus, const transport::Headers& aHeaders) {
          OnHead(aStatus, aHeaders);
        },
      .onData_ = [this](std::string_view aData) { OnData(aData); },
      .onDone_ =
        [this](const absl::Status& aStatus) { OnCallDone(aStatus); } });
}

void
ForwardExchange::OnHead(int aStatus, const transport::Headers& aHeaders)
{
  ForwardResponseHead answer =
    services_.dialect_.decodeResponseHead_(aStatus, aHeaders);
  const bool foreign =
    !answer.requestId_.empty() && answer.requestId_ != plan_.request_.id_;
  if (foreign) {
    OnCallDone(MakeError(ErrorKind::kUpstreamFailed,
                         attempts_.Endpoint().endpoint_,
                         "the answer belongs to another request"));
    return;
  }
  relay_.SetHead(std::move(answer));
}

void
ForwardExchange::OnData(std::string_view aData)
{
  const RelayOutput output = relay_.Feed(aData);
  if (output.begins_) {
    record_.OnFirstToken();
    exchange_->StartStream(relay_.Head().status_, relay_.Head().headers_);
  }
  if (output.hasEvents_) {
    NotePromptRead();
  }
  if (!output.bytes_.empty()) {
    exchange_->SendChunk(output.bytes_);
    OnSlowCaller();
  }
  if (output.isOverlong_) {
    OnCallDone(MakeError(ErrorKind::kTooLarge,
                         attempts_.Endpoint().endpoint_,
                         "an event of the stream does not end"));
  }
}

void
ForwardExchange::OnSlowCaller()
{
  if (!call_ || ended_) {
    return;
  }
  const bool slow = exchange_->PendingBytes() > kMaxPendingBytes;
  call_->SetReading(!slow);
  if (slow) {
    slowCaller_.StartOnce(kSlowCallerMs);
  }
}

void
ForwardExchange::OnCallDone(const absl::Status& aStatus)
{
  if (ended_ || !call_) {
    return;
  }
  const bool sent = call_->WasDispatched();
  attempts_.NoteEnd(sent);
  switch (relay_.EndOfAttempt(aStatus.ok(), call_->EndsByClose())) {
    case AnswerEnd::kNotRun:
      OnNotRun();
      return;
    case AnswerEnd::kWhole:
      OnWholeAnswer();
      return;
    case AnswerEnd::kServerError:
      OnServerError();
      return;
    case AnswerEnd::kCannotFollow:
      OnRanInVain(relay_.Head().IsSuccess() ? "other_form" : "server_error",
                  MakeError(ErrorKind::kUpstreamFailed,
                            attempts_.Endpoint().endpoint_,
                            "the endpoint did not go on with the stream"),
                  sent);
      return;
    case AnswerEnd::kCut:
      OnRanInVain(NameOfCut(aStatus, sent),
                  aStatus.ok() ? MakeError(ErrorKind::kUpstreamFailed,
                                           attempts_.Endpoint().endpoint_,
                                           "the answer broke off")
                               : aStatus,
                  sent);
  }
}

void
ForwardExchange::OnServerError()
{
  const bool repeats =
    plan_.route_.IsIdempotent() && !relay_.HasBegun() && MayRepeat(true);
  if (!repeats) {
    OnWholeAnswer();
    return;
  }
  attempts_.NoteMayHaveRun();
  LeaveEndpoint(AttemptOutcome::kFailed, "server_error");
  Enqueue();
}

void
ForwardExchange::OnRanInVain(std::string_view aWhat,
                             const absl::Status& aStatus,
                             bool aArrived)
{
  if (aArrived) {
    attempts_.NoteMayHaveRun();
  }
  LeaveEndpoint(AttemptOutcome::kFailed, aWhat);
  OnAttemptFailed(aStatus, aArrived);
}

void
ForwardExchange::OnNotRun()
{
  // At an address that another endpoint has taken, nobody else should try.
  const bool misdirected = relay_.Head().status_ == kHttpMisdirected;
  LeaveEndpoint(misdirected ? AttemptOutcome::kFailed
                            : AttemptOutcome::kNeutral,
                "not_run");
  OnAttemptFailed(MakeError(ErrorKind::kQueueFull,
                            attempts_.Endpoint().endpoint_,
                            "the endpoint refused the request"),
                  true);
}

bool
ForwardExchange::MayRepeat(bool aArrived)
{
  return !exchange_->IsClosed() && attempts_.TryRepeat(aArrived);
}

void
ForwardExchange::OnAttemptFailed(const absl::Status& aStatus, bool aArrived)
{
  relay_.EndAttempt();
  const bool harmless = plan_.route_.IsIdempotent() || !attempts_.MayHaveRun();
  if (harmless && relay_.CanGoOn() && MayRepeat(aArrived)) {
    Enqueue();
    return;
  }
  Fail(aStatus);
}

void
ForwardExchange::OnWholeAnswer()
{
  LeaveEndpoint(AttemptOutcome::kServed, "whole");
  attempts_.NoteMayHaveRun();
  const std::string last = relay_.TakeLast();
  Settle();
  const ForwardResponseHead& head = relay_.Head();
  if (!relay_.HasBegun()) {
    exchange_->Reply(head.status_, head.headers_, last);
  } else {
    exchange_->SendChunk(last);
    exchange_->EndStream();
  }
  record_.EndWhole(EndWith(head.status_));
  onEnd_();
}

void
ForwardExchange::OnDeadline()
{
  NoteDispatched();
  const auto status = MakeError(
    ErrorKind::kDeadlineUnreachable, "", "the time for an answer has passed");
  LeaveEndpoint(AttemptOutcome::kNeutral, "deadline");
  Fail(status);
}

void
ForwardExchange::OnCallerGone()
{
  if (ended_) {
    return;
  }
  NoteDispatched();
  LeaveEndpoint(AttemptOutcome::kNeutral, "caller_gone");
  Settle();
  record_.EndAbandoned(EndWith(0));
  onEnd_();
}

void
ForwardExchange::NoteDispatched()
{
  if (call_ && call_->WasDispatched()) {
    attempts_.NoteMayHaveRun();
  }
}

void
ForwardExchange::NotePromptRead()
{
  if (const auto toRead = std::exchange(toRead_, 0)) {
    services_.dispatcher_.Endpoints().OnPromptRead(
      attempts_.Endpoint().endpoint_,
      toRead,
      attempts_.AtEndpointMs(),
      EventLoop::NowMs());
  }
}

void
ForwardExchange::LeaveEndpoint(AttemptOutcome aOutcome, std::string_view aWhat)
{
  call_.reset();
  if (attempts_.IsAtEndpoint()) {
    NotePromptRead();
  }
  attempts_.Leave(aOutcome, relay_.DescribeEnd(aWhat));
}

void
ForwardExchange::Fail(const absl::Status& aStatus)
{
  Settle();
  if (relay_.HasBegun()) {
    exchange_->Abort();
    record_.EndUnknown(aStatus, EndWith(0));
    onEnd_();
    return;
  }
  const bool mayHaveRun = attempts_.MayHaveRun();
  const ExecutionState state =
    mayHaveRun ? ExecutionState::kMayHaveRun : ExecutionState::kNotRun;
  const int64_t retryAfter =
    NeedsTopUp(model::KindOf(aStatus)) ? kTopUpWaitMs : plan_.retryAfterMs_();
  const int status =
    ReplyForwardError(*exchange_, aStatus, state, mayHaveRun ? 0 : retryAfter);
  if (mayHaveRun) {
    record_.EndUnknown(aStatus, EndWith(status));
  } else {
    record_.EndRefused(
      aStatus, services_.dispatcher_.Serves(plan_.service_), EndWith(status));
  }
  onEnd_();
}

void
ForwardExchange::Settle()
{
  ended_ = true;
  deadline_.Stop();
  slowCaller_.Stop();
  attempts_.Cancel();
  services_.biller_.CancelReserve(plan_.id_);
  if (reserved_ > 0) {
    services_.biller_.RecordUsage(
      plan_.budget_, std::exchange(reserved_, 0), relay_.UsedTokens());
  }
}

RequestEnd
ForwardExchange::EndWith(int aStatus) const
{
  return { aStatus,
           Concat("route=",
                  plan_.route_.name_,
                  " service=",
                  plan_.service_,
                  " workspace=",
                  plan_.workspace_,
                  " version=",
                  plan_.deploymentVersion_,
                  " attempts=",
                  attempts_.History(),
                  " first_ms=",
                  record_.FirstTokenMs(),
                  " total_ms=",
                  record_.TotalMs(),
                  " events=",
                  relay_.EventCount(),
                  " bound=",
                  plan_.bound_,
                  " used=",
                  relay_.UsedTokens(),
                  " grant_left=",
                  services_.biller_.Free(plan_.budget_),
                  grantWait_) };
}

} // namespace cactuswick::router

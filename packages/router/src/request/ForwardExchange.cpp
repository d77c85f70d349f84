#include "request/ForwardExchange.h"

#include <algorithm>
#include <utility>

#include "cactuswick/model/process/Error.h"
#include "cactuswick/model/process/Hash.h"
#include "cactuswick/telemetry/process/Log.h"

namespace cactuswick::router {

namespace {

using model::Concat;
using model::ErrorKind;
using model::MakeError;
using routing::AttemptOutcome;
using telemetry::Counter;
using telemetry::Level;
using telemetry::LogRequest;
using telemetry::Part;
using telemetry::Summary;
using transport::EventLoop;

constexpr int kHttpMisdirected = 421;
constexpr int kHttpServerError = 500;
/// Longest wait for a connection to an endpoint.
constexpr int64_t kConnectMs = 700;
/// Endpoints that could not be reached at all, before giving up.
constexpr int64_t kMaxUnreached = 3;
/// An attempt with less time than this left is not worth making.
constexpr int64_t kLeastAttemptMs = 60;
/// An answer that is no stream is held back up to this size, so that a cut
/// one can be repeated or reported.
constexpr size_t kMaxHeldBytes = size_t{ 256 } << 10;
/// Bytes that a slow caller may leave in the router.
constexpr size_t kMaxPendingBytes = size_t{ 256 } << 10;
constexpr int64_t kSlowCallerMs = 20;

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
  , deadline_(aServices.loop_, [this] { OnDeadline(); })
  , slowCaller_(aServices.loop_, [this] { OnSlowCaller(); })
{
}

bool
ForwardExchange::IsStream() const
{
  return plan_.route_.type_ == model::RouteType::kStreaming;
}

void
ForwardExchange::Start()
{
  services_.metrics_.Count(Counter::kRequests);
  exchange_->SetClosedHook([this] { OnCallerGone(); });
  events_.SetLastId(plan_.request_.lastEventId_);
  deadline_.StartOnce(
    std::max(int64_t{ 1 }, plan_.deadlineMs_ - EventLoop::NowMs()));
  if (plan_.bound_ == 0) {
    Enqueue();
    return;
  }
  services_.biller_.Reserve(plan_.budget_,
                            plan_.bound_,
                            plan_.id_,
                            [this](const absl::Status& aStatus) {
                              if (!aStatus.ok()) {
                                Fail(aStatus);
                                return;
                              }
                              reserved_ = plan_.bound_;
                              Enqueue();
                            });
}

void
ForwardExchange::Enqueue()
{
  const auto& request = plan_.request_;
  std::optional<routing::PromptLoad> prompt;
  if (request.promptTokens_) {
    prompt.emplace();
    const bool shares = request.parts_.size() > 1;
    for (size_t i = 0; shares && i + 1 < request.parts_.size(); ++i) {
      prompt->sharedTokens_ += request.parts_[i].tokens_;
    }
    prompt->prefixHash_ =
      shares ? model::Hash64(request.parts_.front().id_) : 0;
    prompt->ownTokens_ = std::max(
      ledger::Tokens{ 0 }, *request.promptTokens_ - prompt->sharedTokens_);
  }
  services_.dispatcher_.Enqueue(
    { .queued_ = { .id_ = plan_.id_,
                   .workspace_ = plan_.workspace_,
                   .priority_ = plan_.priority_,
                   .cost_ = std::max(ledger::Tokens{ 1 }, plan_.bound_),
                   .deadlineMs_ = plan_.queueDeadlineMs_ },
      .serves_ = plan_.service_,
      .prompt_ = prompt,
      .excluded_ = failed_,
      .onPlaced_ =
        [this](const model::Announcement& aEndpoint, ledger::Tokens aToRead) {
          OnPlaced(aEndpoint, aToRead);
        },
      .onExpired_ =
        [this] {
          Fail(MakeError(ErrorKind::kDeadlineUnreachable,
                         "",
                         "no endpoint was free in time"));
        } });
}

void
ForwardExchange::OnPlaced(const model::Announcement& aEndpoint,
                          ledger::Tokens aToRead)
{
  endpoint_ = aEndpoint;
  atEndpoint_ = true;
  toRead_ = aToRead;
  Send();
}

void
ForwardExchange::Send()
{
  const int64_t now = EventLoop::NowMs();
  const int64_t left = std::max(int64_t{ 1 }, plan_.deadlineMs_ - now);
  const auto address = transport::ParseAddress("address", endpoint_.address_);
  answer_ = {};
  body_.clear();
  sentMs_ = now;
  const ForwardSend send{ .endpoint_ = endpoint_.endpoint_,
                          .workspace_ = plan_.workspace_,
                          .priority_ = plan_.priority_,
                          .deadlineMs_ = left,
                          .lastEventId_ = events_.LastId(),
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
  ForwardAnswer answer = services_.dialect_.decodeAnswer_(aStatus, aHeaders);
  const bool foreign =
    !answer.requestId_.empty() && answer.requestId_ != plan_.request_.id_;
  if (foreign) {
    OnCallDone(MakeError(ErrorKind::kUpstreamFailed,
                         endpoint_.endpoint_,
                         "the answer belongs to another request"));
    return;
  }
  // A resumed stream keeps the head of its first answer.
  const bool keepsHead = started_ && answer.IsSuccess();
  if (keepsHead) {
    answer.headers_ = std::move(answer_.headers_);
  }
  answer_ = std::move(answer);
}

void
ForwardExchange::OnData(std::string_view aData)
{
  if (answer_.status_ == 0) {
    return;
  }
  if (IsStream() && answer_.IsSuccess()) {
    OnEvents(events_.Feed(aData));
    return;
  }
  if (!started_) {
    body_.append(aData);
  }
  if (!started_ && body_.size() > kMaxHeldBytes) {
    started_ = true;
    answerPassedOn_ = true;
    exchange_->StartStream(answer_.status_, answer_.headers_);
    exchange_->SendChunk(std::exchange(body_, {}));
  } else if (started_) {
    exchange_->SendChunk(aData);
  }
  OnSlowCaller();
}

void
ForwardExchange::OnEvents(const std::string& aEvents)
{
  if (aEvents.empty()) {
    return;
  }
  if (!started_) {
    started_ = true;
    firstMs_ = EventLoop::NowMs();
    services_.metrics_.Observe(Summary::kFirstTokenMs,
                               static_cast<double>(firstMs_ - plan_.startMs_));
    exchange_->StartStream(answer_.status_, answer_.headers_);
  }
  NotePromptRead();
  exchange_->SendChunk(aEvents);
  OnSlowCaller();
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
  sends_ += sent ? 1 : 0;
  unreached_ += sent ? 0 : 1;
  const bool whole = aStatus.ok() && answer_.status_ != 0;
  if (whole && answer_.notRun_) {
    // At an address that another endpoint has taken, nobody else should try.
    LeaveEndpoint(answer_.status_ == kHttpMisdirected
                    ? AttemptOutcome::kFailed
                    : AttemptOutcome::kNeutral,
                  "not_run");
    OnAttemptFailed(MakeError(ErrorKind::kQueueFull,
                              endpoint_.endpoint_,
                              "the endpoint refused the request"),
                    true);
    return;
  }
  const bool ownFailure =
    answer_.status_ >= kHttpServerError && plan_.route_.IsIdempotent();
  if (whole && !(ownFailure && !started_ && MayRepeat(true))) {
    OnWholeAnswer();
    return;
  }
  mayHaveRun_ = mayHaveRun_ || sent;
  LeaveEndpoint(AttemptOutcome::kFailed,
                whole ? "server_error" : (sent ? "cut" : "unreached"));
  if (whole) {
    // MayRepeat has taken the repeat already.
    failed_.push_back(endpoint_.endpoint_);
    Enqueue();
    return;
  }
  OnAttemptFailed(
    aStatus.ok()
      ? MakeError(ErrorKind::kUpstreamFailed, endpoint_.endpoint_, "no answer")
      : aStatus,
    sent);
}

bool
ForwardExchange::MayRepeat(bool aArrived)
{
  const int64_t left = plan_.deadlineMs_ - EventLoop::NowMs();
  if (left < kLeastAttemptMs || exchange_->IsClosed()) {
    return false;
  }
  if (!aArrived) {
    return unreached_ < kMaxUnreached;
  }
  return sends_ < plan_.route_.maxAttempts_ && plan_.tryRepeat_();
}

void
ForwardExchange::OnAttemptFailed(const absl::Status& aStatus, bool aArrived)
{
  failed_.push_back(endpoint_.endpoint_);
  events_.DropRest();
  const bool harmless = plan_.route_.IsIdempotent() || !mayHaveRun_;
  const bool resumable = !started_ || (IsStream() && plan_.route_.resumable_);
  if (harmless && resumable && MayRepeat(aArrived)) {
    services_.metrics_.Count(Counter::kRetries);
    Enqueue();
    return;
  }
  Fail(aStatus);
}

void
ForwardExchange::OnWholeAnswer()
{
  LeaveEndpoint(AttemptOutcome::kServed, "whole");
  mayHaveRun_ = true;
  answerPassedOn_ = true;
  if (!started_) {
    if (IsStream()) {
      body_ += events_.TakeRest();
    }
    exchange_->Reply(answer_.status_, answer_.headers_, body_);
  } else {
    exchange_->SendChunk(events_.TakeRest());
    exchange_->EndStream();
  }
  services_.metrics_.Count(Counter::kAnsweredWhole);
  Finish("whole", answer_.status_);
}

void
ForwardExchange::OnDeadline()
{
  if (call_ && call_->WasDispatched()) {
    mayHaveRun_ = true;
    ++sends_;
  }
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
  if (call_ && call_->WasDispatched()) {
    mayHaveRun_ = true;
    ++sends_;
  }
  LeaveEndpoint(AttemptOutcome::kNeutral, "caller_gone");
  Finish("caller_gone", 0);
}

void
ForwardExchange::NotePromptRead()
{
  if (const auto toRead = std::exchange(toRead_, 0)) {
    const int64_t now = EventLoop::NowMs();
    services_.dispatcher_.Endpoints().OnPromptRead(
      endpoint_.endpoint_, toRead, now - sentMs_, now);
  }
}

void
ForwardExchange::LeaveEndpoint(AttemptOutcome aOutcome, std::string_view aWhat)
{
  call_.reset();
  if (!std::exchange(atEndpoint_, false)) {
    return;
  }
  NotePromptRead();
  model::AppendTo(history_,
                  history_.empty() ? "" : ",",
                  endpoint_.endpoint_,
                  ":",
                  aWhat,
                  ":",
                  EventLoop::NowMs() - sentMs_,
                  "ms");
  services_.dispatcher_.Release(plan_.service_, endpoint_.endpoint_, aOutcome);
}

void
ForwardExchange::Fail(const absl::Status& aStatus)
{
  const auto kind = model::NameOf(model::KindOf(aStatus));
  if (started_) {
    exchange_->Abort();
    Finish(Concat("cut:", kind), 0);
    return;
  }
  const RunState state =
    mayHaveRun_ ? RunState::kMayHaveRun : RunState::kNotRun;
  const int status = ForwardStatusOf(aStatus, state);
  ReplyForwardError(
    *exchange_, aStatus, state, mayHaveRun_ ? 0 : plan_.retryAfterMs_());
  services_.metrics_.Count(
    mayHaveRun_ ? Counter::kOutcomeUnknown : Counter::kRefused, 1, kind);
  Finish(kind, status);
}

ledger::Tokens
ForwardExchange::Used() const
{
  const bool delivered =
    events_.Count() > 0 || (answerPassedOn_ && answer_.IsSuccess());
  if (!delivered) {
    return 0;
  }
  // The length of an answer that is no stream is not known in tokens.
  const ledger::Tokens most = plan_.request_.maxOutputTokens_;
  const ledger::Tokens output =
    IsStream() ? std::min(most, events_.Count() * plan_.tokensPerEvent_) : most;
  return plan_.request_.promptTokens_.value_or(0) + output;
}

void
ForwardExchange::Finish(std::string_view aOutcome, int aStatus)
{
  if (std::exchange(ended_, true)) {
    return;
  }
  deadline_.Stop();
  slowCaller_.Stop();
  services_.dispatcher_.Cancel(plan_.id_);
  services_.biller_.CancelReserve(plan_.id_);
  const ledger::Tokens used = Used();
  if (reserved_ > 0) {
    services_.biller_.Use(plan_.budget_, std::exchange(reserved_, 0), used);
  }
  const int64_t now = EventLoop::NowMs();
  services_.metrics_.Observe(Summary::kTotalMs,
                             static_cast<double>(now - plan_.startMs_));
  LogRequest(Part::kCaller,
             aOutcome == "whole" ? Level::kInfo : Level::kWarning,
             plan_.request_.id_,
             Concat("outcome=",
                    aOutcome,
                    " status=",
                    aStatus,
                    " route=",
                    plan_.route_.name_,
                    " service=",
                    plan_.service_,
                    " workspace=",
                    plan_.workspace_,
                    " version=",
                    plan_.deploymentVersion_,
                    " attempts=",
                    history_,
                    " first_ms=",
                    firstMs_ == 0 ? 0 : firstMs_ - plan_.startMs_,
                    " total_ms=",
                    now - plan_.startMs_,
                    " events=",
                    events_.Count(),
                    " bound=",
                    plan_.bound_,
                    " used=",
                    used,
                    " grant_left=",
                    services_.biller_.Free(plan_.budget_)));
  onEnd_();
}

} // namespace cactuswick::router

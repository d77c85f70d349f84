#include "request/ServiceExchange.h"

#include <utility>

#include "cactuswick/ledger/version/Ledger.h"
#include "cactuswick/model/process/Error.h"
#include "cactuswick/model/process/Text.h"
#include "request/MalformedResponseLog.h"

namespace cactuswick::router {

namespace {

using model::ErrorKind;
using model::MakeError;
using routing::AttemptOutcome;

/// Maximum wait for the result of a claim.
constexpr int64_t kClaimTimeoutMs = 3'000;
constexpr const char* kReplayedHeader = "X-Cactuswick-Replayed";

} // namespace

ServiceExchange::ServiceExchange(
  RequestDependencies& aDependencies,
  std::unique_ptr<transport::HttpExchange> aExchange,
  RequestInfo aInfo,
  ServiceCall aCall,
  std::function<void()> aOnEnd)
  : dependencies_(aDependencies)
  , exchange_(std::move(aExchange))
  , telemetry_(aDependencies.metrics_, aDependencies.burn_, std::move(aInfo))
  , attempts_(AttemptsOptionsFor(aDependencies, telemetry_.Info()))
  , serviceCall_(std::move(aCall))
  , onEnd_(std::move(aOnEnd))
  , timer_(aDependencies.loop_, [this] { OnClaimTimeout(); })
{
}

void
ServiceExchange::Start()
{
  exchange_->SetClosedHook([this] { OnCallerDisconnected(); });
  if (serviceCall_.price_ == 0) {
    Enqueue();
    return;
  }
  dependencies_.biller_.Reserve({ .budget_ = Info().budget_,
                                  .amount_ = serviceCall_.price_,
                                  .owner_ = Info().id_ },
                                [this](const absl::Status& aStatus) {
                                  if (!aStatus.ok()) {
                                    Refuse(aStatus);
                                    return;
                                  }
                                  reserved_ = serviceCall_.price_;
                                  Enqueue();
                                });
}

void
ServiceExchange::Enqueue()
{
  attempts_.Enqueue(
    { .queued_ = QueuedRequestOf(Info(), 1),
      .serves_ = serviceCall_.service_,
      .onPlaced_ = [this](const model::Announcement&,
                          ledger::Tokens) { OnPlaced(); },
      .onExpired_ = [this] { RefuseOrFailUnknown(QueueDeadlineError()); } });
}

void
ServiceExchange::OnPlaced()
{
  telemetry_.OnPlaced();
  if (serviceCall_.idempotent_ || claimed_) {
    Call();
  } else {
    ClaimRun();
  }
}

void
ServiceExchange::ClaimRun()
{
  claimPending_ = true;
  timer_.StartOnce(kClaimTimeoutMs);
  const std::weak_ptr<bool> alive = alive_;
  ControlClient& control = dependencies_.control_;
  const ledger::Claim claim{ Info().workspace_.name_,
                             Info().key_,
                             Info().fingerprint_ };
  control.Submit(
    claim, [this, alive, claim, &control](const ledger::OpResult& aResult) {
      const auto* result = std::get_if<ledger::ClaimResult>(&aResult);
      if (result == nullptr) {
        return;
      }
      if (!alive.expired() && claimPending_) {
        OnClaimed(*result);
      } else if (result->granted_) {
        // The claim was granted too late: the caller was already told that
        // nothing ran, so it is resolved as not run.
        control.Submit(
          ledger::ResolveClaim{ .workspace_ = claim.workspace_,
                                .key_ = claim.key_,
                                .state_ = ledger::ClaimState::kNotRun });
      }
    });
}

void
ServiceExchange::OnClaimTimeout()
{
  if (std::exchange(claimPending_, false)) {
    Refuse(MakeError(ErrorKind::kControlUnreachable,
                     "",
                     "no quorum to claim the single run of this call"));
  }
}

void
ServiceExchange::OnClaimed(const ledger::ClaimResult& aResult)
{
  claimPending_ = false;
  timer_.Stop();
  if (aResult.granted_) {
    claimed_ = true;
    Call();
    return;
  }
  LeaveEndpoint(AttemptOutcome::kNeutral, "not_sent");
  if (aResult.keyReused_) {
    Refuse(MakeError(ErrorKind::kKeyReused,
                     "Idempotency-Key",
                     "this key was used for a call with another body"));
  } else if (aResult.full_) {
    Refuse(MakeError(
      ErrorKind::kQueueFull, "", "too many calls are stored already"));
  } else {
    Replay(aResult);
  }
}

void
ServiceExchange::Replay(const ledger::ClaimResult& aResult)
{
  dependencies_.biller_.Release(Info().budget_, std::exchange(reserved_, 0));
  if (aResult.state_ == ledger::ClaimState::kDone) {
    exchange_->Reply(
      static_cast<int>(aResult.httpStatus_),
      { { kOutcomeHeader, "whole" }, { kReplayedHeader, "true" } },
      aResult.body_);
    telemetry_.RecordComplete(
      MakeLogEntry(static_cast<int>(aResult.httpStatus_)));
    End();
    return;
  }
  const bool running = aResult.state_ == ledger::ClaimState::kRunning;
  FailOutcomeUnknown(
    running
      ? MakeError(ErrorKind::kInProgress, "", "the first call is still running")
      : MakeError(ErrorKind::kOutcomeUnknown,
                  "",
                  "the outcome of the first call is unknown"));
}

void
ServiceExchange::Call()
{
  httpStatus_ = 0;
  contentType_.clear();
  body_.clear();
  transport::HttpCallOptions options =
    CallOptionsTo(attempts_.Endpoint(), dependencies_.limits_);
  options.method_ = exchange_->Method();
  options.path_ = serviceCall_.path_;
  options.headers_ = { { "Content-Type",
                         exchange_->HeaderValue("Content-Type") },
                       { "Idempotency-Key", Info().key_ } };
  options.body_ = exchange_->SharedBody();
  options.onHeaders_ = [this](int aStatus, const transport::Headers& aHeaders) {
    httpStatus_ = aStatus;
    for (const auto& header : aHeaders) {
      if (header.name_ == "Content-Type") {
        contentType_ = header.value_;
      }
    }
  };
  options.onData_ = [this](std::string_view aData) { body_.append(aData); };
  options.onDone_ = [this](const absl::Status& aStatus) { OnDone(aStatus); };
  call_ = std::make_unique<transport::HttpCall>(dependencies_.loop_,
                                                std::move(options));
}

void
ServiceExchange::OnDone(const absl::Status& aStatus)
{
  if (aStatus.ok()) {
    OnResponseComplete();
    return;
  }
  LogIfMalformed(*call_, Info().logId_, attempts_.Endpoint().endpoint_);
  if (call_->WasDispatched()) {
    attempts_.MarkMayHaveRun();
  }
  OnAttemptFailed(aStatus);
}

void
ServiceExchange::OnAttemptFailed(const absl::Status& aStatus)
{
  attempts_.RecordAttempt(true);
  LeaveEndpoint(AttemptOutcome::kFailed, "failed");
  const bool safeToRetry = serviceCall_.idempotent_ || !attempts_.MayHaveRun();
  if (safeToRetry && attempts_.TryRetry(true)) {
    Enqueue();
  } else {
    RefuseOrFailUnknown(aStatus);
  }
}

void
ServiceExchange::RefuseOrFailUnknown(const absl::Status& aStatus)
{
  attempts_.MayHaveRun() ? FailOutcomeUnknown(aStatus) : Refuse(aStatus);
}

void
ServiceExchange::OnResponseComplete()
{
  LeaveEndpoint(AttemptOutcome::kServed, "whole");
  dependencies_.dispatcher_.OnFinished(
    serviceCall_.service_, QueuedRequestOf(Info(), 1), 1);
  Resolve(ledger::ClaimState::kDone);
  Settle();
}

void
ServiceExchange::Resolve(ledger::ClaimState aState)
{
  if (!std::exchange(claimed_, false)) {
    return;
  }
  ledger::ResolveClaim resolve{ .workspace_ = Info().workspace_.name_,
                                .key_ = Info().key_,
                                .state_ = aState,
                                .httpStatus_ = httpStatus_ };
  if (body_.size() <= ledger::kMaxClaimBodyBytes) {
    resolve.body_ = body_;
  }
  // Operations are committed in order, so this one precedes the settlement.
  dependencies_.control_.Submit(resolve);
}

void
ServiceExchange::Settle()
{
  if (serviceCall_.price_ == 0) {
    OnSettled(absl::OkStatus());
    return;
  }
  dependencies_.biller_.Settle(
    telemetry_.SettleOf(serviceCall_.price_),
    std::exchange(reserved_, 0),
    [this](const absl::Status& aStatus) { OnSettled(aStatus); });
}

void
ServiceExchange::OnSettled(const absl::Status& aStatus)
{
  if (!aStatus.ok()) {
    FailOutcomeUnknown(aStatus);
    return;
  }
  exchange_->Reply(
    httpStatus_,
    { { "Content-Type", contentType_ }, { kOutcomeHeader, "whole" } },
    body_);
  telemetry_.RecordComplete(MakeLogEntry(httpStatus_));
  End();
}

void
ServiceExchange::OnCallerDisconnected()
{
  // A call that may be running continues, so that a retry gets its outcome.
  if (ended_ || claimed_ || attempts_.IsAtEndpoint()) {
    return;
  }
  dependencies_.biller_.CancelReserve(Info().id_);
  attempts_.Cancel();
  dependencies_.biller_.Release(Info().budget_, std::exchange(reserved_, 0));
  telemetry_.RecordCallerDisconnected(MakeLogEntry(0));
  End();
}

void
ServiceExchange::LeaveEndpoint(AttemptOutcome aOutcome, std::string_view aLabel)
{
  call_.reset();
  attempts_.ReleaseSlot(aOutcome, aLabel);
}

RequestLogEntry
ServiceExchange::MakeLogEntry(int aStatus) const
{
  return { aStatus,
           model::Concat("service=",
                         serviceCall_.service_,
                         " workspace=",
                         Info().workspace_.name_,
                         " attempts=",
                         attempts_.History(),
                         " total_ms=",
                         telemetry_.TotalMs(),
                         " price=",
                         serviceCall_.price_) };
}

void
ServiceExchange::Refuse(const absl::Status& aStatus)
{
  Resolve(ledger::ClaimState::kNotRun);
  LeaveEndpoint(AttemptOutcome::kNeutral, "refused");
  dependencies_.biller_.Release(Info().budget_, std::exchange(reserved_, 0));
  ReplyError(*exchange_, aStatus, Outcome::kRefused);
  telemetry_.RecordRefused(
    aStatus,
    dependencies_.dispatcher_.Serves(serviceCall_.service_),
    MakeLogEntry(model::HttpStatusOf(model::KindOf(aStatus))));
  End();
}

void
ServiceExchange::FailOutcomeUnknown(const absl::Status& aStatus)
{
  Resolve(ledger::ClaimState::kUnknown);
  dependencies_.biller_.Release(Info().budget_, std::exchange(reserved_, 0));
  ReplyError(*exchange_, aStatus, Outcome::kUnknown);
  telemetry_.RecordUnknownOutcome(
    aStatus, MakeLogEntry(model::HttpStatusOf(ErrorKind::kOutcomeUnknown)));
  End();
}

void
ServiceExchange::End()
{
  if (!std::exchange(ended_, true)) {
    timer_.Stop();
    onEnd_();
  }
}

} // namespace cactuswick::router

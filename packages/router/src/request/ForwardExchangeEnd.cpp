// ForwardExchange: requests that end without a complete response.

#include <utility>

#include "cactuswick/model/process/Error.h"
#include "request/ForwardExchange.h"

namespace cactuswick::router {

using model::ErrorKind;
using model::MakeError;
using routing::AttemptOutcome;
using transport::EventLoop;

void
ForwardExchange::OnDeadline()
{
  const int64_t leftMs =
    plan_.deadlines_.EndMs(IsResponseUnderWay()) - EventLoop::NowMs();
  if (leftMs > 0) {
    deadlineTimer_.StartOnce(leftMs);
    return;
  }
  MarkMayHaveRunIfSent();
  const auto status =
    MakeError(ErrorKind::kDeadlineUnreachable,
              "",
              "the deadline passed before the response was complete");
  LeaveEndpoint(AttemptOutcome::kNeutral, "deadline");
  Fail(status);
}

void
ForwardExchange::OnAllEvacuated()
{
  dependencies_.metrics_.Count(telemetry::Counter::kEvacuationRefusals);
  Fail(EvacuatedError(plan_.service_));
}

void
ForwardExchange::OnRouterStops()
{
  if (ended_) {
    return;
  }
  MarkMayHaveRunIfSent();
  LeaveEndpoint(AttemptOutcome::kNeutral, "router_stops");
  Fail(DrainingError());
}

void
ForwardExchange::OnCallerDisconnected()
{
  if (ended_) {
    return;
  }
  MarkMayHaveRunIfSent();
  LeaveEndpoint(AttemptOutcome::kNeutral, "caller_gone");
  StopAndSettle();
  telemetry_.RecordCallerDisconnected(MakeLogEntry(0));
  onEnd_();
}

void
ForwardExchange::MarkMayHaveRunIfSent()
{
  if (call_ && call_->WasDispatched()) {
    attempts_.MarkMayHaveRun();
  }
}

void
ForwardExchange::LeaveEndpoint(AttemptOutcome aOutcome, std::string_view aLabel)
{
  call_.reset();
  if (attempts_.IsAtEndpoint()) {
    prefill_.End(attempts_);
  }
  attempts_.ReleaseSlot(aOutcome, relay_.DescribeEnd(aLabel));
}

void
ForwardExchange::Fail(const absl::Status& aStatus)
{
  StopAndSettle();
  if (relay_.HasBegun()) {
    exchange_->Abort();
    telemetry_.RecordUnknownOutcome(aStatus, MakeLogEntry(0));
    onEnd_();
    return;
  }
  const bool mayHaveRun = attempts_.MayHaveRun();
  const ExecutionState state =
    mayHaveRun ? ExecutionState::kMayHaveRun : ExecutionState::kNotRun;
  const int64_t retryAfter = quarantinedPart_
                               ? quarantinedPart_->retryAfterMs_
                               : RetryAfterMsOf(plan_,
                                                dependencies_.dispatcher_,
                                                model::KindOf(aStatus));
  const int status =
    ReplyForwardError(*exchange_, aStatus, state, mayHaveRun ? 0 : retryAfter);
  if (mayHaveRun) {
    telemetry_.RecordUnknownOutcome(aStatus, MakeLogEntry(status));
  } else {
    telemetry_.RecordRefused(aStatus,
                             dependencies_.dispatcher_.Serves(plan_.service_),
                             MakeLogEntry(status));
  }
  onEnd_();
}

void
ForwardExchange::StopAndSettle()
{
  ended_ = true;
  deadlineTimer_.Stop();
  backpressureTimer_.Stop();
  attempts_.Cancel();
  dependencies_.quarantine_.CancelProbe(plan_.id_);
  dependencies_.origins_.Cancel(plan_.id_);
  dependencies_.biller_.CancelReserve(plan_.id_);
  if (reserved_ > 0) {
    dependencies_.biller_.RecordUsage(
      plan_.budget_, std::exchange(reserved_, 0), relay_.UsedTokens());
  }
}

} // namespace cactuswick::router

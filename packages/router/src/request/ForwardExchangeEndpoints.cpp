// ForwardExchange: endpoints that stop taking requests.

#include "cactuswick/model/process/Error.h"
#include "cactuswick/model/process/Text.h"
#include "cactuswick/telemetry/process/Log.h"
#include "request/ForwardExchange.h"
#include "request/ResponseOwner.h"

namespace cactuswick::router {

namespace {

using model::Concat;
using routing::AttemptOutcome;
using routing::SignalEffect;
using telemetry::Counter;
using telemetry::Level;
using telemetry::Log;
using telemetry::Part;

} // namespace

bool
ForwardExchange::RefuseIfBackingOff()
{
  const auto backoffUntilMs =
    dependencies_.dispatcher_.BackoffUntilMs(plan_.service_);
  if (!backoffUntilMs || *backoffUntilMs < QueueDeadlineMs()) {
    return false;
  }
  Fail(model::MakeError(model::ErrorKind::kQueueFull,
                        plan_.service_,
                        "all endpoints ask to back off"));
  return true;
}

void
ForwardExchange::ApplySignals(const routing::ResponseSignals& aSignals)
{
  const model::Announcement& endpoint = attempts_.Endpoint();
  const auto effect = dependencies_.dispatcher_.OnSignals(endpoint, aSignals);
  if (effect == SignalEffect::kLeaves) {
    dependencies_.metrics_.Count(Counter::kEndpointsLeaving);
    Log(Part::kEndpoint,
        Level::kInfo,
        Concat("leaves by its response endpoint=",
               endpoint.endpoint_,
               " incarnation=",
               endpoint.incarnation_));
  }
  if (effect == SignalEffect::kBacksOff) {
    dependencies_.metrics_.Count(Counter::kEndpointsBackingOff);
    Log(Part::kEndpoint,
        Level::kInfo,
        Concat("backs off endpoint=",
               endpoint.endpoint_,
               " incarnation=",
               endpoint.incarnation_,
               " backoff_ms=",
               aSignals.backoffMs_));
  }
}

void
ForwardExchange::OnEndpointsStopped()
{
  if (ended_) {
    return;
  }
  if (attempts_.IsQueued()) {
    if (!RefuseIfBackingOff()) {
      FailIfVersionGone();
    }
    return;
  }
  if (!call_ || call_->WasDispatched() || attempts_.MayBeSent()) {
    return;
  }
  Withdraw("withdrawn");
}

void
ForwardExchange::Withdraw(std::string_view aLabel)
{
  dependencies_.metrics_.Count(Counter::kAttemptsWithdrawn);
  LeaveEndpoint(AttemptOutcome::kNeutral, aLabel);
  relay_.EndAttempt();
  Enqueue();
}

bool
ForwardExchange::SkipsResponse(int aStatus, const transport::Headers& aHeaders)
{
  const ForwardResponseHead head =
    dependencies_.dialect_.decodeResponseHead_(aStatus, aHeaders);
  if (OwnerOf(head, plan_.request_.id_) != ResponseOwner::kOtherRequest) {
    return false;
  }
  ++skippedResponses_;
  dependencies_.metrics_.Count(telemetry::Counter::kResponsesSkipped);
  LogSkippedResponse(head);
  return true;
}

} // namespace cactuswick::router

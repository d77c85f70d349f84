#include "request/Attempts.h"

#include <algorithm>
#include <utility>

#include "cactuswick/model/process/Error.h"
#include "cactuswick/model/process/Text.h"

namespace cactuswick::router {

using transport::EventLoop;

absl::Status
QueueDeadlineError()
{
  return model::MakeError(
    model::ErrorKind::kDeadlineUnreachable,
    "",
    "the deadline passed before an endpoint had a free slot");
}

Attempts::Attempts(AttemptsOptions aOptions)
  : options_(std::move(aOptions))
{
}

void
Attempts::Enqueue(DispatchRequest aRequest)
{
  id_ = aRequest.queued_.id_;
  serves_ = aRequest.serves_;
  aRequest.excluded_ = failedEndpoints_;
  aRequest.onPlaced_ = [this, onPlaced = std::move(aRequest.onPlaced_)](
                         const model::Announcement& aEndpoint,
                         ledger::Tokens aPrefillTokens) {
    endpoint_ = aEndpoint;
    placedAtMs_ = EventLoop::NowMs();
    queued_ = false;
    atEndpoint_ = true;
    onPlaced(endpoint_, aPrefillTokens);
  };
  queued_ = true;
  options_.dispatcher_.Enqueue(std::move(aRequest));
}

void
Attempts::Cancel()
{
  queued_ = false;
  options_.dispatcher_.Cancel(id_);
}

bool
Attempts::MayBeSent() const
{
  return options_.dispatcher_.TakesRequests(endpoint_, serves_, placedAtMs_);
}

void
Attempts::OnSent()
{
  options_.dispatcher_.OnSent(endpoint_, placedAtMs_);
}

int64_t
Attempts::TimeAtEndpointMs() const
{
  return EventLoop::NowMs() - placedAtMs_;
}

void
Attempts::ReleaseSlot(routing::AttemptOutcome aOutcome, std::string_view aLabel)
{
  if (!std::exchange(atEndpoint_, false)) {
    return;
  }
  model::AppendTo(history_,
                  history_.empty() ? "" : ",",
                  endpoint_.endpoint_,
                  ":",
                  aLabel,
                  ":",
                  TimeAtEndpointMs(),
                  "ms");
  hasFailed_ |= aOutcome == routing::AttemptOutcome::kFailed;
  options_.dispatcher_.Release(serves_, endpoint_.endpoint_, aOutcome);
}

bool
Attempts::TryRetry(bool aWasSent)
{
  failedEndpoints_.push_back(endpoint_.endpoint_);
  triedAddresses_.push_back(endpoint_.address_);
  const int64_t leftMs = options_.deadlineMs_ - EventLoop::NowMs();
  if (leftMs < options_.minTimeLeftMs_) {
    return false;
  }
  const bool allowed =
    aWasSent ? sends_ < options_.maxSends_ && options_.tryTakeRetry_()
             : unsent_ < options_.maxUnsent_;
  if (allowed) {
    options_.metrics_.Count(telemetry::Counter::kRetries);
  }
  return allowed;
}

bool
Attempts::HasTried(const model::Announcement& aEndpoint) const
{
  return std::find(triedAddresses_.begin(),
                   triedAddresses_.end(),
                   aEndpoint.address_) != triedAddresses_.end();
}

} // namespace cactuswick::router

#include "request/Attempts.h"

#include <utility>

#include "cactuswick/model/process/Error.h"

namespace cactuswick::router {

namespace {

constexpr size_t kMaxAttempts = 3;

} // namespace

absl::Status
DeadlinePassed()
{
  return model::MakeError(model::ErrorKind::kDeadlineUnreachable,
                          "",
                          "the deadline passed before an endpoint was free");
}

Attempts::Attempts(RouterServices& aServices, RequestRecord& aRecord)
  : services_(aServices)
  , record_(aRecord)
{
}

void
Attempts::Enqueue(const std::string& aServes,
                  ledger::Tokens aCost,
                  uint64_t aPrefixHash,
                  const Hooks& aHooks)
{
  serves_ = aServes;
  services_.dispatcher_.Enqueue(
    { .queued_ = QueuedOf(record_.Info(), aCost),
      .serves_ = aServes,
      .prefixHash_ = aPrefixHash,
      .excluded_ = failed_,
      .onPlaced_ =
        [this, placed = aHooks.onPlaced_](const model::Announcement& aEndpoint,
                                          ledger::Tokens) {
          record_.OnPlaced();
          endpoint_ = aEndpoint;
          atEndpoint_ = true;
          placed(aEndpoint);
        },
      .onExpired_ = aHooks.onExpired_ });
}

void
Attempts::Cancel()
{
  services_.dispatcher_.Cancel(record_.Info().id_);
}

void
Attempts::Leave(routing::AttemptOutcome aOutcome)
{
  if (std::exchange(atEndpoint_, false)) {
    services_.dispatcher_.Release(serves_, endpoint_.endpoint_, aOutcome);
  }
}

bool
Attempts::Fail(bool aSafe)
{
  failed_.push_back(endpoint_.endpoint_);
  Leave(routing::AttemptOutcome::kFailed);
  const bool inTime =
    transport::EventLoop::NowMs() < record_.Info().deadlineMs_;
  if (!aSafe || !inTime || failed_.size() >= kMaxAttempts ||
      !services_.dispatcher_.Retries().TryTake()) {
    return false;
  }
  services_.metrics_.Count(telemetry::Counter::kRetries);
  return true;
}

} // namespace cactuswick::router

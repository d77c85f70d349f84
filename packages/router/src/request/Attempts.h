#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/status.h>

#include "cactuswick/telemetry/process/Metrics.h"
#include "process/Dispatcher.h"

namespace cactuswick::router {

/// Returns the error of a request that no endpoint could accept before its
/// queue deadline.
absl::Status
QueueDeadlineError();

struct AttemptsOptions
{
  Dispatcher& dispatcher_;
  telemetry::Metrics& metrics_;
  /// Maximum number of attempts in which the request was sent.
  int64_t maxSends_ = 3;
  /// Maximum number of attempts in which the endpoint was unreachable.
  int64_t maxUnsent_ = 3;
  /// Time by which a response has to be sent; see SetDeadline().
  int64_t deadlineMs_ = 0;
  /// No attempt starts with less time than this before the deadline.
  int64_t minTimeLeftMs_ = 1;
  /// Takes one retry from the retry budget; false when it is exhausted.
  std::function<bool()> tryTakeRetry_;
};

/// Tracks the attempts of one request: its queue entry, the current endpoint,
/// the outcome of earlier attempts, and whether a retry is allowed.
class Attempts
{
public:
  explicit Attempts(AttemptsOptions aOptions);

  /// Queues the request for an endpoint at which it has not failed before.
  void Enqueue(DispatchRequest aRequest);
  /// Sets the time by which further attempts have to be done.
  void SetDeadline(int64_t aDeadlineMs) { options_.deadlineMs_ = aDeadlineMs; }
  /// Removes the request from the queue without calling its hooks.
  void Cancel();

  /// Counts an ended attempt. @p aWasSent means that the endpoint may have
  /// read the request.
  void RecordAttempt(bool aWasSent) { ++(aWasSent ? sends_ : unsent_); }
  /// Releases the endpoint's slot, if held; @p aLabel is written to the
  /// history.
  void ReleaseSlot(routing::AttemptOutcome aOutcome, std::string_view aLabel);
  /// Returns whether the request may be retried at another endpoint. A request
  /// that was sent takes one retry from the retry budget.
  bool TryRetry(bool aWasSent);

  /// Returns whether the request may be sent once more after the present
  /// attempt, which was sent.
  bool HasAnotherSend() const { return sends_ + 1 < options_.maxSends_; }

  /// Returns whether an earlier attempt was made at this endpoint's address.
  bool HasTried(const model::Announcement& aEndpoint) const;

  /// Whether the request waits for an endpoint.
  bool IsQueued() const { return queued_; }
  bool IsAtEndpoint() const { return atEndpoint_; }
  const model::Announcement& Endpoint() const { return endpoint_; }
  /// Returns whether the request may still be sent to the endpoint that was
  /// chosen.
  bool MayBeSent() const;
  /// Records that the request has been sent to the endpoint.
  void OnSent();
  /// Milliseconds since the endpoint was chosen.
  int64_t TimeAtEndpointMs() const;

  /// Records that an attempt was sent and may have run.
  void MarkMayHaveRun() { mayHaveRun_ = true; }
  bool MayHaveRun() const { return mayHaveRun_; }
  /// Whether an endpoint failed in an attempt.
  bool HasFailed() const { return hasFailed_; }

  /// Endpoint, outcome and duration of each attempt so far, for the log.
  const std::string& History() const { return history_; }

private:
  AttemptsOptions options_;
  routing::RequestId id_ = 0;
  std::string serves_;
  model::Announcement endpoint_;
  int64_t placedAtMs_ = 0;
  std::vector<std::string> failedEndpoints_;
  std::vector<std::string> triedAddresses_;
  int64_t sends_ = 0;
  int64_t unsent_ = 0;
  std::string history_;
  bool queued_ = false;
  bool atEndpoint_ = false;
  bool mayHaveRun_ = false;
  bool hasFailed_ = false;
};

} // namespace cactuswick::router

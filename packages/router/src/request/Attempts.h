#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/status.h>

#include "cactuswick/telemetry/process/Metrics.h"
#include "process/Dispatcher.h"

namespace cactuswick::router {

/// The status of a request that nobody could take in time.
absl::Status
QueueDeadlineError();

struct AttemptsOptions
{
  Dispatcher& dispatcher_;
  telemetry::Metrics& metrics_;
  /// Endpoints that may read the request, one after the other.
  int64_t maxSends_ = 3;
  /// Endpoints that could not be reached at all, before giving up.
  int64_t maxUnsent_ = 3;
  /// When an answer is of no more use.
  int64_t deadlineMs_ = 0;
  /// An attempt with less time than this left is not worth making.
  int64_t minTimeLeftMs_ = 1;
  /// Takes one repeated send from the retry budget.
  std::function<bool()> tryRepeat_;
};

/// The attempts of one request: its place in the queue, the endpoint that it
/// is at, what is known of earlier ones, and whether another may be made.
class Attempts
{
public:
  explicit Attempts(AttemptsOptions aOptions);

  /// Queues for an endpoint that did not fail this request before.
  void Enqueue(DispatchRequest aRequest);
  /// Leaves the queue; hooks are not called.
  void Cancel();

  /// A call to the endpoint has ended. @p aWasSent says that the endpoint may
  /// have read the request.
  void RecordAttempt(bool aWasSent) { ++(aWasSent ? sends_ : unsent_); }
  /// Gives the slot back, if there is one; @p aWhat is for the history.
  void ReleaseSlot(routing::AttemptOutcome aOutcome, std::string_view aWhat);
  /// True when the request may be tried at another endpoint. One that has
  /// arrived is paid from the retry budget.
  bool TryRetry(bool aWasSent);

  bool IsAtEndpoint() const { return atEndpoint_; }
  const model::Announcement& Endpoint() const { return endpoint_; }
  /// Time since the endpoint was chosen.
  int64_t TimeAtEndpointMs() const;

  /// Notes that an attempt was dispatched and its end is not known.
  void MarkMayHaveRun() { mayHaveRun_ = true; }
  bool MayHaveRun() const { return mayHaveRun_; }

  /// Endpoints tried, how each attempt ended and how long it took.
  const std::string& History() const { return history_; }

private:
  AttemptsOptions options_;
  routing::RequestId id_ = 0;
  std::string serves_;
  model::Announcement endpoint_;
  int64_t placedAtMs_ = 0;
  std::vector<std::string> failedEndpoints_;
  int64_t sends_ = 0;
  int64_t unsent_ = 0;
  std::string history_;
  bool atEndpoint_ = false;
  bool mayHaveRun_ = false;
};

} // namespace cactuswick::router

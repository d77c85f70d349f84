#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <absl/status/status.h>

#include "cactuswick/ledger/request/RouterOp.h"
#include "cactuswick/model/version/Resource.h"
#include "cactuswick/routing/request/FairQueue.h"
#include "cactuswick/telemetry/process/BurnTable.h"
#include "cactuswick/telemetry/process/Metrics.h"

namespace cactuswick::router {

/// Data of an authenticated request.
struct RequestInfo
{
  routing::RequestId id_ = 0;
  /// Id of the request in the log.
  std::string logId_;
  model::Workspace workspace_;
  /// Objectives are tracked per workspace, not for all workspaces together.
  bool hasWorkspaceObjectives_ = true;
  model::Rank rank_;
  std::string budget_;
  /// Idempotency key of the caller, or a generated one.
  std::string key_;
  int64_t fingerprint_ = 0;
  int64_t deadlineMs_ = 0;
  int64_t startMs_ = 0;
  /// Time of the replicated log at admission, for the settlement.
  ledger::LogTimeMs startedLogTimeMs_ = 0;
};

/// Returns the time at which a request that is still queued is refused: its
/// deadline or the end of its rank's maximum wait, whichever is earlier.
int64_t
QueueDeadlineOf(const RequestInfo& aInfo);

/// Returns the queue entry of a request.
routing::QueuedRequest
QueuedRequestOf(const RequestInfo& aInfo, ledger::Tokens aCost);

/// Contents of the log line at the end of a request.
struct RequestLogEntry
{
  /// HTTP status sent to the caller; 0 for none.
  int httpStatus_ = 0;
  /// Further fields as "name=value", separated by spaces.
  std::string fields_;
};

/// Records metrics and service-level objectives of one request and logs one
/// line at its end.
class RequestTelemetry
{
public:
  RequestTelemetry(telemetry::Metrics& aMetrics,
                   telemetry::BurnTable& aBurn,
                   RequestInfo aInfo);

  const RequestInfo& Info() const { return info_; }
  void OnPlaced();
  void OnFirstToken();
  bool HasFirstToken() const { return firstTokenMs_.has_value(); }
  /// Milliseconds from the start of the request to its first token; 0 before
  /// it.
  int64_t FirstTokenMs() const { return firstTokenMs_.value_or(0); }
  int64_t TotalMs() const;

  /// Records whether the tokens that an engine reports stay within the
  /// reservation.
  void OnUsage(ledger::Tokens aReported, ledger::Tokens aReserved);
  /// Records a complete response.
  void RecordComplete(const RequestLogEntry& aEntry);
  /// Records a refusal. @p aEndpointAvailable means that an endpoint serves the
  /// request, so that some refusals are the system's own fault.
  void RecordRefused(const absl::Status& aStatus,
                     bool aEndpointAvailable,
                     const RequestLogEntry& aEntry);
  /// Records a request that may have run, or whose response was truncated.
  void RecordUnknownOutcome(const absl::Status& aStatus,
                            const RequestLogEntry& aEntry);
  /// Records that the caller disconnected, which neither meets nor misses an
  /// objective.
  void RecordCallerDisconnected(const RequestLogEntry& aEntry);

  ledger::Settle SettleOf(ledger::Tokens aAmount) const;

private:
  void RecordObjective(telemetry::Objective aObjective, bool aMet);
  void RecordDeadline(bool aComplete);
  void LogEnd(std::string_view aOutcome, const RequestLogEntry& aEntry) const;

  telemetry::Metrics& metrics_;
  telemetry::BurnTable& burn_;
  RequestInfo info_;
  std::optional<int64_t> firstTokenMs_;
};

} // namespace cactuswick::router

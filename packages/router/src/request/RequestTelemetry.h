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

/// What is known of a request once it is authenticated.
struct RequestInfo
{
  routing::RequestId id_ = 0;
  /// The request's name in the log.
  std::string logId_;
  model::Workspace workspace_;
  /// Objectives are kept for each workspace by itself.
  bool hasWorkspaceObjectives_ = true;
  model::Rank rank_;
  std::string budget_;
  /// The caller's idempotency key, or one made up for it.
  std::string key_;
  int64_t fingerprint_ = 0;
  int64_t deadlineMs_ = 0;
  int64_t startMs_ = 0;
  /// Log time at admission, for the settlement.
  ledger::LogTimeMs startedLogMs_ = 0;
};

/// When a request that still waits is of no more use.
int64_t
QueueDeadlineOf(const RequestInfo& aInfo);

/// The queue's view of a request.
routing::QueuedRequest
QueuedOf(const RequestInfo& aInfo, ledger::Tokens aCost);

/// How a request ended, for its line in the log.
struct RequestLogEntry
{
  /// Status that the caller got; 0 for none.
  int httpStatus_ = 0;
  /// Inputs of the decision, "name=value" each.
  std::string fields_;
};

/// Keeps the measures of one request: times, outcome, objectives. Writes the
/// one line of the log that says how it ended.
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
  /// Time from the request to its first token; 0 without one.
  int64_t FirstTokenMs() const { return firstTokenMs_.value_or(0); }
  int64_t TotalMs() const;

  /// Counts whether an engine kept to the tokens that were reserved.
  void OnUsage(ledger::Tokens aReported, ledger::Tokens aReserved);
  void RecordComplete(const RequestLogEntry& aEnd);
  /// @p aEndpointAvailable says that the refusal was the system's own fault.
  void RecordRefused(const absl::Status& aStatus,
                     bool aEndpointAvailable,
                     const RequestLogEntry& aEnd);
  /// Nobody knows whether it ran, or its answer was cut.
  void RecordUnknownOutcome(const absl::Status& aStatus,
                            const RequestLogEntry& aEnd);
  /// The caller hung up; no objective is kept or broken.
  void RecordCallerDisconnected(const RequestLogEntry& aEnd);

  ledger::Settle SettleOf(ledger::Tokens aAmount) const;

private:
  void RecordObjective(telemetry::Objective aObjective, bool aMet);
  void RecordDeadline(bool aWhole);
  void LogEnd(std::string_view aOutcome, const RequestLogEntry& aEnd) const;

  telemetry::Metrics& metrics_;
  telemetry::BurnTable& burn_;
  RequestInfo info_;
  std::optional<int64_t> firstTokenMs_;
};

} // namespace cactuswick::router

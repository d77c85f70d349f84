#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <absl/status/status.h>

#include "cactuswick/model/version/Resource.h"
#include "connection/HttpErrors.h"
#include "request/RouterServices.h"

namespace cactuswick::router {

/// What is known of a request once it is authenticated.
struct RequestInfo
{
  routing::RequestId id_ = 0;
  model::Workspace workspace_;
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

/// Keeps the measures of one request: times, outcome, objectives.
class RequestRecord
{
public:
  RequestRecord(RouterServices& aServices, RequestInfo aInfo);

  const RequestInfo& Info() const { return info_; }
  void OnPlaced();
  void OnFirstToken();
  bool HasFirstToken() const { return firstTokenMs_.has_value(); }

  /// Counts whether an engine kept to the tokens that were reserved.
  void OnUsage(ledger::Tokens aReported, ledger::Tokens aReserved);
  void EndWhole();
  /// @p aFleetHadRoom says that the refusal was the system's own fault.
  void EndRefused(const absl::Status& aStatus, bool aFleetHadRoom);
  void EndUnknown(const absl::Status& aStatus);
  /// The caller hung up; no objective is kept or broken.
  void EndAbandoned();

  ledger::Settle SettleOf(ledger::Tokens aAmount) const;

private:
  void CountDeadline(bool aWhole);

  RouterServices& services_;
  RequestInfo info_;
  std::optional<int64_t> firstTokenMs_;
};

} // namespace cactuswick::router

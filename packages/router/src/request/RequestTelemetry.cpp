#include "request/RequestTelemetry.h"

#include <algorithm>
#include <utility>

#include "cactuswick/model/process/Error.h"
#include "cactuswick/telemetry/process/Log.h"
#include "cactuswick/transport/process/EventLoop.h"

namespace cactuswick::router {

namespace {

using telemetry::Counter;
using telemetry::Level;
using telemetry::LogRequest;
using telemetry::Objective;
using telemetry::Part;
using telemetry::Summary;
using transport::EventLoop;

/// Returns whether a refusal of this kind is the system's own fault while an
/// endpoint is available.
bool
IsFalseRefusal(model::ErrorKind aKind)
{
  switch (aKind) {
    case model::ErrorKind::kBudgetHeldElsewhere:
    case model::ErrorKind::kBudgetHeldForGood:
    case model::ErrorKind::kControlUnreachable:
    case model::ErrorKind::kNoSettlementPath:
    case model::ErrorKind::kUpstreamFailed:
      return true;
    default:
      return false;
  }
}

} // namespace

int64_t
QueueDeadlineOf(const RequestInfo& aInfo)
{
  const int64_t maxWaitMs = aInfo.rank_.maxWaitMs_;
  return maxWaitMs == 0
           ? aInfo.deadlineMs_
           : std::min(aInfo.deadlineMs_, aInfo.startMs_ + maxWaitMs);
}

routing::QueuedRequest
QueuedRequestOf(const RequestInfo& aInfo, ledger::Tokens aCost)
{
  return { .id_ = aInfo.id_,
           .workspace_ = aInfo.workspace_.name_,
           .weight_ = aInfo.workspace_.weight_,
           .priority_ = aInfo.rank_.priority_,
           .floorPercent_ = aInfo.rank_.floorPercent_,
           .cost_ = aCost,
           .deadlineMs_ = QueueDeadlineOf(aInfo) };
}

RequestTelemetry::RequestTelemetry(telemetry::Metrics& aMetrics,
                                   telemetry::BurnTable& aBurn,
                                   RequestInfo aInfo)
  : metrics_(aMetrics)
  , burn_(aBurn)
  , info_(std::move(aInfo))
{
  metrics_.Count(Counter::kRequests, 1, info_.rank_.name_);
}

int64_t
RequestTelemetry::TotalMs() const
{
  return EventLoop::NowMs() - info_.startMs_;
}

void
RequestTelemetry::RecordObjective(Objective aObjective, bool aMet)
{
  burn_.Add(aObjective,
            info_.rank_.name_,
            info_.hasWorkspaceObjectives_ ? info_.workspace_.name_ : "",
            aMet,
            EventLoop::NowMs());
}

void
RequestTelemetry::OnPlaced()
{
  metrics_.Observe(
    Summary::kQueueMs, static_cast<double>(TotalMs()), info_.rank_.name_);
}

void
RequestTelemetry::OnFirstToken()
{
  if (firstTokenMs_) {
    return;
  }
  firstTokenMs_ = TotalMs();
  metrics_.Observe(Summary::kFirstTokenMs,
                   static_cast<double>(*firstTokenMs_),
                   info_.rank_.name_);
  RecordObjective(Objective::kFirstToken,
                  *firstTokenMs_ <= info_.rank_.firstTokenTargetMs_);
}

void
RequestTelemetry::RecordDeadline(bool aComplete)
{
  RecordObjective(Objective::kDeadline,
                  aComplete && EventLoop::NowMs() <= info_.deadlineMs_);
  metrics_.Observe(
    Summary::kTotalMs, static_cast<double>(TotalMs()), info_.rank_.name_);
}

void
RequestTelemetry::OnUsage(ledger::Tokens aReported, ledger::Tokens aReserved)
{
  const bool met = aReported <= aReserved;
  RecordObjective(Objective::kNoOverspend, met);
  if (!met) {
    LogRequest(Part::kBilling,
               Level::kError,
               info_.logId_,
               model::Concat("engine reported ",
                             aReported,
                             " tokens, but only ",
                             aReserved,
                             " were reserved"));
  }
}

void
RequestTelemetry::RecordComplete(const RequestLogEntry& aEntry)
{
  metrics_.Count(Counter::kCompletedRequests, 1, info_.rank_.name_);
  RecordObjective(Objective::kNoFalseRefusal, true);
  RecordDeadline(true);
  LogEnd("whole", aEntry);
}

void
RequestTelemetry::RecordRefused(const absl::Status& aStatus,
                                bool aEndpointAvailable,
                                const RequestLogEntry& aEntry)
{
  const model::ErrorKind kind = model::KindOf(aStatus);
  metrics_.Count(Counter::kRefused, 1, model::NameOf(kind));
  RecordObjective(Objective::kNoFalseRefusal,
                  !(aEndpointAvailable && IsFalseRefusal(kind)));
  LogEnd(model::NameOf(kind), aEntry);
}

void
RequestTelemetry::RecordUnknownOutcome(const absl::Status& aStatus,
                                       const RequestLogEntry& aEntry)
{
  metrics_.Count(Counter::kOutcomeUnknown, 1, info_.rank_.name_);
  RecordDeadline(false);
  const auto kind = model::NameOf(model::KindOf(aStatus));
  LogEnd(HasFirstToken() ? model::Concat("cut:", kind) : std::string(kind),
         aEntry);
}

void
RequestTelemetry::RecordCallerDisconnected(const RequestLogEntry& aEntry)
{
  LogEnd("caller_gone", aEntry);
}

void
RequestTelemetry::LogEnd(std::string_view aOutcome,
                         const RequestLogEntry& aEntry) const
{
  LogRequest(Part::kCaller,
             aOutcome == "whole" ? Level::kInfo : Level::kWarning,
             info_.logId_,
             model::Concat("outcome=",
                           aOutcome,
                           " status=",
                           aEntry.httpStatus_,
                           " ",
                           aEntry.fields_));
}

ledger::Settle
RequestTelemetry::SettleOf(ledger::Tokens aAmount) const
{
  return { .budget_ = info_.budget_,
           .key_ = info_.key_,
           .fingerprint_ = info_.fingerprint_,
           .amount_ = aAmount,
           .startedMs_ = info_.startedLogTimeMs_ };
}

} // namespace cactuswick::router

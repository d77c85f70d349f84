#include "request/RequestRecord.h"

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

/// Refusals that are the system's own fault while the fleet has room.
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
  const int64_t longest = aInfo.rank_.maxWaitMs_;
  return longest == 0 ? aInfo.deadlineMs_
                      : std::min(aInfo.deadlineMs_, aInfo.startMs_ + longest);
}

routing::QueuedRequest
QueuedOf(const RequestInfo& aInfo, ledger::Tokens aCost)
{
  return { .id_ = aInfo.id_,
           .workspace_ = aInfo.workspace_.name_,
           .weight_ = aInfo.workspace_.weight_,
           .priority_ = aInfo.rank_.priority_,
           .floorPercent_ = aInfo.rank_.floorPercent_,
           .cost_ = aCost,
           .deadlineMs_ = QueueDeadlineOf(aInfo) };
}

RequestRecord::RequestRecord(telemetry::Metrics& aMetrics,
                             telemetry::BurnTable& aBurn,
                             RequestInfo aInfo)
  : metrics_(aMetrics)
  , burn_(aBurn)
  , info_(std::move(aInfo))
{
  metrics_.Count(Counter::kRequests, 1, info_.rank_.name_);
}

int64_t
RequestRecord::TotalMs() const
{
  return EventLoop::NowMs() - info_.startMs_;
}

void
RequestRecord::Burn(Objective aObjective, bool aKept)
{
  burn_.Add(aObjective,
            info_.rank_.name_,
            info_.burnsByWorkspace_ ? info_.workspace_.name_ : "",
            aKept,
            EventLoop::NowMs());
}

void
RequestRecord::OnPlaced()
{
  metrics_.Observe(
    Summary::kQueueMs, static_cast<double>(TotalMs()), info_.rank_.name_);
}

void
RequestRecord::OnFirstToken()
{
  if (firstTokenMs_) {
    return;
  }
  firstTokenMs_ = TotalMs();
  metrics_.Observe(Summary::kFirstTokenMs,
                   static_cast<double>(*firstTokenMs_),
                   info_.rank_.name_);
  Burn(Objective::kFirstToken,
       *firstTokenMs_ <= info_.rank_.firstTokenTargetMs_);
}

void
RequestRecord::CountDeadline(bool aWhole)
{
  Burn(Objective::kDeadline, aWhole && EventLoop::NowMs() <= info_.deadlineMs_);
  metrics_.Observe(
    Summary::kTotalMs, static_cast<double>(TotalMs()), info_.rank_.name_);
}

void
RequestRecord::OnUsage(ledger::Tokens aReported, ledger::Tokens aReserved)
{
  const bool kept = aReported <= aReserved;
  Burn(Objective::kNoOverspend, kept);
  if (!kept) {
    LogRequest(Part::kBilling,
               Level::kError,
               info_.logId_,
               model::Concat("an engine reports ",
                             aReported,
                             " tokens for ",
                             aReserved,
                             " reserved"));
  }
}

void
RequestRecord::EndWhole(const RequestEnd& aEnd)
{
  metrics_.Count(Counter::kCompletedRequests, 1, info_.rank_.name_);
  Burn(Objective::kNoFalseRefusal, true);
  CountDeadline(true);
  LogEnd("whole", aEnd);
}

void
RequestRecord::EndRefused(const absl::Status& aStatus,
                          bool aFleetHadRoom,
                          const RequestEnd& aEnd)
{
  const model::ErrorKind kind = model::KindOf(aStatus);
  metrics_.Count(Counter::kRefused, 1, model::NameOf(kind));
  Burn(Objective::kNoFalseRefusal, !(aFleetHadRoom && IsFalseRefusal(kind)));
  LogEnd(model::NameOf(kind), aEnd);
}

void
RequestRecord::EndUnknown(const absl::Status& aStatus, const RequestEnd& aEnd)
{
  metrics_.Count(Counter::kOutcomeUnknown, 1, info_.rank_.name_);
  CountDeadline(false);
  const auto kind = model::NameOf(model::KindOf(aStatus));
  LogEnd(HasFirstToken() ? model::Concat("cut:", kind) : std::string(kind),
         aEnd);
}

void
RequestRecord::EndAbandoned(const RequestEnd& aEnd)
{
  LogEnd("caller_gone", aEnd);
}

void
RequestRecord::LogEnd(std::string_view aOutcome, const RequestEnd& aEnd) const
{
  LogRequest(
    Part::kCaller,
    aOutcome == "whole" ? Level::kInfo : Level::kWarning,
    info_.logId_,
    model::Concat(
      "outcome=", aOutcome, " status=", aEnd.httpStatus_, " ", aEnd.inputs_));
}

ledger::Settle
RequestRecord::SettleOf(ledger::Tokens aAmount) const
{
  return { .budget_ = info_.budget_,
           .key_ = info_.key_,
           .fingerprint_ = info_.fingerprint_,
           .amount_ = aAmount,
           .startedMs_ = info_.startedLogMs_ };
}

} // namespace cactuswick::router

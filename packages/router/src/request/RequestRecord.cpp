#include "request/RequestRecord.h"

#include <algorithm>
#include <utility>

#include "cactuswick/model/process/Error.h"
#include "cactuswick/telemetry/process/Log.h"

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

RequestRecord::RequestRecord(RouterServices& aServices, RequestInfo aInfo)
  : services_(aServices)
  , info_(std::move(aInfo))
{
  services_.metrics_.Count(Counter::kRequests, 1, info_.rank_.name_);
  services_.dispatcher_.Retries().OnRequest();
}

void
RequestRecord::OnPlaced()
{
  services_.metrics_.Observe(
    Summary::kQueueMs,
    static_cast<double>(EventLoop::NowMs() - info_.startMs_),
    info_.rank_.name_);
}

void
RequestRecord::OnFirstToken()
{
  if (firstTokenMs_) {
    return;
  }
  const int64_t now = EventLoop::NowMs();
  firstTokenMs_ = now - info_.startMs_;
  services_.metrics_.Observe(Summary::kFirstTokenMs,
                             static_cast<double>(*firstTokenMs_),
                             info_.rank_.name_);
  services_.burn_.Add(Objective::kFirstToken,
                      info_.rank_.name_,
                      info_.workspace_.name_,
                      *firstTokenMs_ <= info_.rank_.firstTokenTargetMs_,
                      now);
}

void
RequestRecord::CountDeadline(bool aWhole)
{
  const int64_t now = EventLoop::NowMs();
  services_.burn_.Add(Objective::kDeadline,
                      info_.rank_.name_,
                      info_.workspace_.name_,
                      aWhole && now <= info_.deadlineMs_,
                      now);
  services_.metrics_.Observe(Summary::kTotalMs,
                             static_cast<double>(now - info_.startMs_),
                             info_.rank_.name_);
}

void
RequestRecord::OnUsage(ledger::Tokens aReported, ledger::Tokens aReserved)
{
  const bool kept = aReported <= aReserved;
  services_.burn_.Add(Objective::kNoOverspend,
                      info_.rank_.name_,
                      info_.workspace_.name_,
                      kept,
                      EventLoop::NowMs());
  if (!kept) {
    LogRequest(Part::kBilling,
               Level::kError,
               model::Concat("r", info_.id_),
               model::Concat("an engine reports ",
                             aReported,
                             " tokens for ",
                             aReserved,
                             " reserved"));
  }
}

void
RequestRecord::EndWhole()
{
  services_.metrics_.Count(Counter::kAnsweredWhole, 1, info_.rank_.name_);
  services_.burn_.Add(Objective::kNoFalseRefusal,
                      info_.rank_.name_,
                      info_.workspace_.name_,
                      true,
                      EventLoop::NowMs());
  CountDeadline(true);
}

void
RequestRecord::EndRefused(const absl::Status& aStatus, bool aFleetHadRoom)
{
  const model::ErrorKind kind = model::KindOf(aStatus);
  services_.metrics_.Count(Counter::kRefused, 1, model::NameOf(kind));
  services_.burn_.Add(Objective::kNoFalseRefusal,
                      info_.rank_.name_,
                      info_.workspace_.name_,
                      !(aFleetHadRoom && IsFalseRefusal(kind)),
                      EventLoop::NowMs());
  LogRequest(Part::kCaller,
             Level::kDebug,
             model::Concat("r", info_.id_),
             model::Concat("refused: ", model::NameOf(kind)));
}

void
RequestRecord::EndUnknown(const absl::Status& aStatus)
{
  services_.metrics_.Count(Counter::kOutcomeUnknown, 1, info_.rank_.name_);
  CountDeadline(false);
  LogRequest(
    Part::kCaller,
    Level::kWarning,
    model::Concat("r", info_.id_),
    model::Concat("outcome unknown: ", model::NameOf(model::KindOf(aStatus))));
}

void
RequestRecord::EndAbandoned()
{
  LogRequest(Part::kCaller,
             Level::kDebug,
             model::Concat("r", info_.id_),
             "the caller hung up");
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

#include "version/EventLogLimiter.h"

#include "cactuswick/model/process/Text.h"

namespace cactuswick::control {

namespace {

const char*
ActionOf(ledger::ReplicaEventKind aKind)
{
  switch (aKind) {
    case ledger::ReplicaEventKind::kTransferStarted:
      return "starts snapshot transfer to";
    case ledger::ReplicaEventKind::kTransferRestarted:
      return "restarts snapshot transfer to";
    case ledger::ReplicaEventKind::kTransferDone:
      return "completed snapshot transfer to";
    case ledger::ReplicaEventKind::kVoteDenied:
      return "denies vote to";
    case ledger::ReplicaEventKind::kElectionFailed:
      return "election failed";
    case ledger::ReplicaEventKind::kSteppedDown:
      return "steps down";
  }
  return "";
}

} // namespace

bool
EventLogLimiter::AllowsLog(const ledger::ReplicaEvent& aEvent, int64_t aNowMs)
{
  const auto [last, first] =
    loggedMs_.try_emplace({ aEvent.kind_, aEvent.member_ }, aNowMs);
  if (!first && aNowMs - last->second < kEventLogIntervalMs) {
    return false;
  }
  last->second = aNowMs;
  return true;
}

std::string
TextOf(const ledger::ReplicaEvent& aEvent)
{
  const bool hasMember = !aEvent.member_.empty();
  return model::Concat(ActionOf(aEvent.kind_),
                       hasMember ? " " : "",
                       aEvent.member_,
                       ": ",
                       aEvent.reason_);
}

std::string
TextOf(const std::string& aMember, const ledger::MemberProgress& aProgress)
{
  return model::Concat("learner=",
                       aMember,
                       " match=",
                       aProgress.match_,
                       " of=",
                       aProgress.lastIndex_,
                       " snapshot_bytes=",
                       aProgress.snapshotBytes_,
                       " transfers=",
                       aProgress.transfers_,
                       " known_ms=",
                       aProgress.knownMs_,
                       " silent_ms=",
                       aProgress.sinceContactMs_);
}

} // namespace cactuswick::control

#include "version/EventLogLimiter.h"

#include "cactuswick/model/process/Text.h"

namespace cactuswick::control {

namespace {

const char*
ActionOf(ledger::NoteKind aKind)
{
  switch (aKind) {
    case ledger::NoteKind::kTransferStarted:
      return "starts snapshot transfer to";
    case ledger::NoteKind::kTransferRestarted:
      return "restarts snapshot transfer to";
    case ledger::NoteKind::kTransferDone:
      return "completed snapshot transfer to";
    case ledger::NoteKind::kVoteDenied:
      return "denies vote to";
    case ledger::NoteKind::kElectionFailed:
      return "election failed";
    case ledger::NoteKind::kSteppedDown:
      return "steps down";
  }
  return "";
}

} // namespace

bool
EventLogLimiter::AllowsLog(const ledger::ReplicaNote& aNote, int64_t aNowMs)
{
  const auto [last, first] =
    loggedMs_.try_emplace({ aNote.kind_, aNote.member_ }, aNowMs);
  if (!first && aNowMs - last->second < kEventLogIntervalMs) {
    return false;
  }
  last->second = aNowMs;
  return true;
}

std::string
TextOf(const ledger::ReplicaNote& aNote)
{
  const bool named = !aNote.member_.empty();
  return model::Concat(
    ActionOf(aNote.kind_), named ? " " : "", aNote.member_, ": ", aNote.why_);
}

std::string
TextOf(const std::string& aMember, const ledger::MemberStanding& aStanding)
{
  return model::Concat("learner=",
                       aMember,
                       " match=",
                       aStanding.match_,
                       " of=",
                       aStanding.last_,
                       " snapshot_bytes=",
                       aStanding.snapshotBytes_,
                       " transfers=",
                       aStanding.transfers_,
                       " known_ms=",
                       aStanding.knownMs_,
                       " silent_ms=",
                       aStanding.silentMs_);
}

} // namespace cactuswick::control

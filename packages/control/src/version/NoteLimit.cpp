#include "version/NoteLimit.h"

#include "cactuswick/model/process/Text.h"

namespace cactuswick::control {

namespace {

const char*
WhatOf(ledger::ReplicaEventKind aKind)
{
  switch (aKind) {
    case ledger::ReplicaEventKind::kTransferStarted:
      return "sends a snapshot to";
    case ledger::ReplicaEventKind::kTransferRestarted:
      return "sends a snapshot from its start again to";
    case ledger::ReplicaEventKind::kTransferDone:
      return "a snapshot has arrived at";
    case ledger::ReplicaEventKind::kVoteDenied:
      return "denies its vote to";
    case ledger::ReplicaEventKind::kElectionFailed:
      return "is not elected";
    case ledger::ReplicaEventKind::kSteppedDown:
      return "steps down";
  }
  return "";
}

} // namespace

bool
NoteLimit::Admits(const ledger::ReplicaEvent& aNote, int64_t aNowMs)
{
  const auto [last, first] =
    loggedMs_.try_emplace({ aNote.kind_, aNote.member_ }, aNowMs);
  if (!first && aNowMs - last->second < kNoteIntervalMs) {
    return false;
  }
  last->second = aNowMs;
  return true;
}

std::string
TextOf(const ledger::ReplicaEvent& aNote)
{
  const bool named = !aNote.member_.empty();
  return model::Concat(
    WhatOf(aNote.kind_), named ? " " : "", aNote.member_, ": ", aNote.reason_);
}

std::string
TextOf(const std::string& aMember, const ledger::MemberProgress& aStanding)
{
  return model::Concat("learner=",
                       aMember,
                       " match=",
                       aStanding.match_,
                       " of=",
                       aStanding.lastIndex_,
                       " snapshot_bytes=",
                       aStanding.snapshotBytes_,
                       " transfers=",
                       aStanding.transfers_,
                       " known_ms=",
                       aStanding.knownMs_,
                       " silent_ms=",
                       aStanding.sinceContactMs_);
}

} // namespace cactuswick::control

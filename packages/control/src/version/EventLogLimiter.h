#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "cactuswick/ledger/version/ReplicaNote.h"

namespace cactuswick::control {

/// Interval of log lines of one kind about one member.
inline constexpr int64_t kEventLogIntervalMs = 1'000;

/// Bounds how many of the replica's notes are logged.
class EventLogLimiter
{
public:
  /// Whether a note may be logged now.
  bool AllowsLog(const ledger::ReplicaNote& aNote, int64_t aNowMs);

private:
  std::map<std::pair<ledger::NoteKind, std::string>, int64_t> loggedMs_;
};

/// The note as a line of the log.
std::string
TextOf(const ledger::ReplicaNote& aNote);

/// A member's standing as a line of the log.
std::string
TextOf(const std::string& aMember, const ledger::MemberStanding& aStanding);

} // namespace cactuswick::control

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "cactuswick/ledger/version/ReplicaEvent.h"

namespace cactuswick::control {

/// Shortest interval between log lines of one kind about one member.
inline constexpr int64_t kEventLogIntervalMs = 1'000;

/// Limits the rate at which events of the replica are logged.
class EventLogLimiter
{
public:
  /// Whether an event may be logged now; if so, starts a new interval for it.
  bool AllowsLog(const ledger::ReplicaEvent& aEvent, int64_t aNowMs);

private:
  std::map<std::pair<ledger::ReplicaEventKind, std::string>, int64_t> loggedMs_;
};

/// Formats the event as a log line.
std::string
TextOf(const ledger::ReplicaEvent& aEvent);

/// Formats the replication progress of a learner as a log line.
std::string
TextOf(const std::string& aMember, const ledger::MemberProgress& aProgress);

} // namespace cactuswick::control

#pragma once

#include <cstdint>

#include "cactuswick/ledger/version/Command.h"

/// Versions of the log's contents, for updates of one replica after another.
namespace cactuswick::ledger {

/// Log format that this release reads and writes. It rises when a command or a
/// record of the snapshot is added, which earlier releases cannot decode.
inline constexpr int64_t kLogFormat = 2;

/// Returns the lowest log format that includes @p aCommand and the records that
/// it leads to.
int64_t
FormatOf(const Command& aCommand);

} // namespace cactuswick::ledger

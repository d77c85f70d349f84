#pragma once

#include <string>

#include "process/Commands.h"

namespace cactuswick::client {

/// Exit code of a check that was not made, also for wrong usage.
inline constexpr int kCheckExitCannotCheck = 3;

/// Checks the configuration in a file before it is sent, and prints the
/// findings. The version in force is read from the file of --against or else
/// from the server, if there is one. Returns the exit code: 0 for nothing but
/// notes, 1 for warnings, 2 for errors, 3 if it cannot be checked.
int
CheckFile(const CommandContext& aContext, const std::string& aFile);

} // namespace cactuswick::client

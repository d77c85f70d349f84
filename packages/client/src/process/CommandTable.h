#pragma once

#include <functional>
#include <string>
#include <vector>

#include "process/Commands.h"

namespace cactuswick::client {

using CommandArguments = std::vector<std::string>;

/// Command with its usage and help texts and its handler.
struct CommandEntry
{
  std::string name_;
  std::string arguments_;
  std::string help_;
  size_t minArguments_ = 0;
  size_t maxArguments_ = 0;
  std::function<absl::Status(const CommandContext&, const CommandArguments&)>
    run_;
  /// Set instead for a command that returns an exit code of its own and can do
  /// without a server.
  std::function<int(const CommandContext&, const CommandArguments&)>
    runForExitCode_;
  int usageExitCode_ = 2;
};

/// Returns all commands, in the order of the help text.
const std::vector<CommandEntry>&
AllCommands();

} // namespace cactuswick::client

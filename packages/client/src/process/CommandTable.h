#pragma once

#include <functional>
#include <string>
#include <vector>

#include "process/Commands.h"

namespace cactuswick::client {

using Words = std::vector<std::string>;

/// One command: its arguments, its help and what it does.
struct CommandEntry
{
  std::string name_;
  std::string arguments_;
  std::string help_;
  size_t minWords_ = 0;
  size_t maxWords_ = 0;
  std::function<absl::Status(const CommandContext&, const Words&)> run_;
};

/// Every command, in the order of the help text.
const std::vector<CommandEntry>&
AllCommands();

} // namespace cactuswick::client

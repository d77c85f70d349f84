#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include <absl/strings/str_split.h>
#include <tclap/CmdLine.h>

#include "cactuswick/model/process/Error.h"
#include "process/CommandTable.h"

namespace {

using namespace cactuswick;

constexpr int kExitOk = 0;
constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;
/// Outcome unknown: the command should be repeated with its request id.
constexpr int kExitOutcomeUnknown = 3;
constexpr const char* kVersion = "0.1.0";

/// Returns the variable's value, or an empty string when it is not set.
std::string
FromEnvironment(const char* aName)
{
  const char* value = std::getenv(aName);
  return value == nullptr ? "" : value;
}

std::string
Usage()
{
  std::string text = "Operates a cactuswick deployment. Commands:";
  for (const auto& command : client::AllCommands()) {
    text += "\n  " + command.name_ + " " + command.arguments_ + ": " +
            command.help_ + ".";
  }
  return text +
         "\nCACTUSWICK_SERVER and CACTUSWICK_KEY stand in for --server and "
         "--key. Exit codes: 0 done, 1 refused or failed, 2 wrong usage, 3 "
         "outcome unknown (repeat with the same --request-id). Those of check: "
         "0 "
         "nothing to mend, 1 warnings, 2 errors, 3 cannot check.";
}

int
ExitCodeOf(const absl::Status& aStatus)
{
  if (aStatus.ok()) {
    return kExitOk;
  }
  const model::ErrorKind kind = model::KindOf(aStatus);
  std::cerr << "cactuswick: " << model::NameOf(kind);
  if (!model::FieldOf(aStatus).empty()) {
    std::cerr << " (" << model::FieldOf(aStatus) << ")";
  }
  std::cerr << ": " << aStatus.message() << "\n";
  const bool unknown = kind == model::ErrorKind::kOutcomeUnknown ||
                       kind == model::ErrorKind::kControlUnreachable;
  return unknown ? kExitOutcomeUnknown : kExitFailure;
}

absl::StatusOr<std::vector<transport::Address>>
ParseServers(const std::string& aText)
{
  std::vector<transport::Address> servers;
  for (const absl::string_view part :
       absl::StrSplit(aText, ',', absl::SkipWhitespace())) {
    const auto address = transport::ParseAddress("server", std::string(part));
    if (!address.ok()) {
      return address.status();
    }
    servers.push_back(*address);
  }
  return servers;
}

/// Returns the command of that name, or null.
const client::CommandEntry*
FindCommand(const std::string& aName)
{
  for (const auto& command : client::AllCommands()) {
    if (command.name_ == aName) {
      return &command;
    }
  }
  return nullptr;
}

int
UsageError(const std::string& aMessage, int aExitCode = kExitUsage)
{
  std::cerr << "cactuswick: " << aMessage << "; see --help\n";
  return aExitCode;
}

int
Run(int aCount, char** aValues)
{
  TCLAP::CmdLine line(Usage(), ' ', kVersion);
  TCLAP::ValueArg<std::string> server("s",
                                      "server",
                                      "Router addresses, tried in order.",
                                      false,
                                      FromEnvironment("CACTUSWICK_SERVER"),
                                      "IP:PORT,...",
                                      line);
  TCLAP::ValueArg<std::string> key("k",
                                   "key",
                                   "The operators' key.",
                                   false,
                                   FromEnvironment("CACTUSWICK_KEY"),
                                   "KEY",
                                   line);
  TCLAP::ValueArg<std::string> output(
    "o", "output", "Output format.", false, "table", "table|json", line);
  TCLAP::ValueArg<std::string> file(
    "f", "file", "Resources to apply.", false, "", "FILE", line);
  TCLAP::ValueArg<std::string> requestId(
    "",
    "request-id",
    "Idempotency id: a repeated command gets its first answer.",
    false,
    "",
    "ID",
    line);
  TCLAP::ValueArg<std::string> against(
    "",
    "against",
    "File that check takes as the version in force.",
    false,
    "",
    "FILE",
    line);
  TCLAP::UnlabeledMultiArg<std::string> words(
    "command", "Command and its arguments.", true, "COMMAND", line);
  line.parse(aCount, aValues);

  client::CommandArguments arguments = words.getValue();
  const std::string name = arguments.front();
  arguments.erase(arguments.begin());
  const auto servers = ParseServers(server.getValue());
  const auto* command = FindCommand(name);
  if (command == nullptr) {
    return UsageError("there is no command " + name);
  }
  if (!servers.ok() || (servers->empty() && !command->runForExitCode_)) {
    return UsageError("--server expects IP:PORT,...", command->usageExitCode_);
  }
  client::ApiClient api(*servers, key.getValue());
  const client::CommandContext context{ .api_ = api,
                                        .json_ = output.getValue() == "json",
                                        .requestId_ = requestId.getValue(),
                                        .against_ = against.getValue(),
                                        .hasServer_ = !servers->empty() };
  if (arguments.size() < command->minArguments_ ||
      arguments.size() > command->maxArguments_) {
    return UsageError(name + " expects " + command->arguments_,
                      command->usageExitCode_);
  }
  if (command->runForExitCode_) {
    return command->runForExitCode_(context, arguments);
  }
  if (!command->run_) {
    return file.getValue().empty()
             ? UsageError("apply expects -f FILE")
             : ExitCodeOf(client::Apply(context, file.getValue()));
  }
  return ExitCodeOf(command->run_(context, arguments));
}

} // namespace

int
main(int aCount, char** aValues)
{
  try {
    return Run(aCount, aValues);
  } catch (const std::exception& error) {
    std::cerr << "cactuswick: " << error.what() << "\n";
    return kExitFailure;
  }
}

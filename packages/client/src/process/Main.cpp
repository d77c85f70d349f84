#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include <absl/strings/str_split.h>
#include <tclap/CmdLine.h>

#include "cactuswick/model/process/Error.h"
#include "process/Commands.h"

namespace {

using namespace cactuswick;

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
/// The answer is not known: repeat the command with its request id.
constexpr int kExitUnknown = 3;
constexpr const char* kVersion = "0.1.0";

/// What the environment adds to the command line.
std::string
FromEnvironment(const char* aName)
{
  const char* value = std::getenv(aName);
  return value == nullptr ? "" : value;
}

/// One command: its arguments, its help and what it does.
struct CommandEntry
{
  std::string name_;
  std::string arguments_;
  std::string help_;
  size_t minArguments_ = 0;
  size_t maxArguments_ = 0;
  std::function<absl::Status(const client::CommandContext&,
                             const std::vector<std::string>&)>
    run_;
};

absl::StatusOr<int64_t>
ToAmount(const std::string& aText)
{
  int64_t amount = 0;
  if (!absl::SimpleAtoi(aText, &amount) || amount < 1) {
    return model::MakeError(
      model::ErrorKind::kOutOfRange, "amount", "expected a positive integer");
  }
  return amount;
}

using Arguments = std::vector<std::string>;
using Context = client::CommandContext;

/// Runs @p aCommand with the amount in @p aText.
absl::Status
WithAmount(const std::string& aText,
           const std::function<absl::Status(int64_t)>& aCommand)
{
  const auto amount = ToAmount(aText);
  return amount.ok() ? aCommand(*amount) : amount.status();
}

const std::vector<CommandEntry>&
AllCommands()
{
  static const std::vector<CommandEntry> kAll = {
    { "apply", "-f FILE", "create or change the resources of a JSON file", 0, 0,
      nullptr },
    { "get", "TYPE[/NAME]", "show resources or budgets", 1, 1,
      [](const Context& c, const Arguments& a) { return Get(c, a[0]); } },
    { "describe", "TYPE/NAME", "show one, and the routers that have it", 1, 1,
      [](const Context& c, const Arguments& a) { return Describe(c, a[0]); } },
    { "watch", "[CHANGES]", "print revisions as they come into force", 0, 1,
      [](const Context& c, const Arguments& a) {
        return a.empty() ? Watch(c, 0)
                         : WithAmount(a[0], [&](int64_t n) {
                             return Watch(c, static_cast<int>(n));
                           });
      } },
    { "delete", "TYPE/NAME", "delete a resource or a used-up budget", 1, 1,
      [](const Context& c, const Arguments& a) { return Delete(c, a[0]); } },
    { "topup", "WORKSPACE/BUDGET TOKENS", "add prepaid tokens", 2, 2,
      [](const Context& c, const Arguments& a) {
        return WithAmount(a[1], [&](int64_t n) { return TopUp(c, a[0], n); });
      } },
    { "release", "WORKSPACE/BUDGET TOKENS", "free held tokens", 2, 2,
      [](const Context& c, const Arguments& a) {
        return WithAmount(a[1], [&](int64_t n) { return Release(c, a[0], n); });
      } },
    { "key", "WORKSPACE NAME", "make an API key; it is printed once", 2, 2,
      [](const Context& c, const Arguments& a) {
        return CreateKey(c, a[0], a[1]);
      } },
    { "status", "", "show control replicas and routers", 0, 0,
      [](const Context& c, const Arguments&) { return Status(c); } },
    { "drain", "ROUTER", "make a router (address:port) drain and stop", 1, 1,
      [](const Context& c, const Arguments& a) { return Drain(c, a[0]); } },
    { "end-router", "INCARNATION", "state that a router is dead for good", 1, 1,
      [](const Context& c, const Arguments& a) {
        return WithAmount(a[0], [&](int64_t n) { return EndRouter(c, n); });
      } },
    { "replica", "add|remove ID", "change the control replicas", 2, 2,
      [](const Context& c, const Arguments& a) {
        return ChangeReplica(c, a[0], a[1]);
      } },
    { "report", "burn [table|json|html]", "service-level burn", 1, 2,
      [](const Context& c, const Arguments& a) {
        return ReportBurn(c, a.size() > 1 ? a[1] : "table");
      } },
  };
  return kAll;
}

std::string
Usage()
{
  std::string text = "Operates a cactuswick deployment. Commands:";
  for (const auto& command : AllCommands()) {
    text += "\n  " + command.name_ + " " + command.arguments_ + ": " +
            command.help_ + ".";
  }
  return text +
         "\nCACTUSWICK_SERVER and CACTUSWICK_KEY stand in for --server and "
         "--key. Exit codes: 0 done, 1 refused or failed, 2 wrong usage, 3 "
         "outcome unknown (repeat with the same --request-id).";
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
  return unknown ? kExitUnknown : kExitFailed;
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

int
UsageError(const std::string& aMessage)
{
  std::cerr << "cactuswick: " << aMessage << "; see --help\n";
  return kExitUsage;
}

int
Run(int aCount, char** aValues)
{
  TCLAP::CmdLine line(Usage(), ' ', kVersion);
  TCLAP::ValueArg<std::string> server(
    "s", "server", "Routers to ask, in turn.", false,
    FromEnvironment("CACTUSWICK_SERVER"), "IP:PORT,...", line);
  TCLAP::ValueArg<std::string> key(
    "k", "key", "The operators' key.", false, FromEnvironment("CACTUSWICK_KEY"),
    "KEY", line);
  TCLAP::ValueArg<std::string> output(
    "o", "output", "Form of the output.", false, "table", "table|json", line);
  TCLAP::ValueArg<std::string> file(
    "f", "file", "Resources to apply.", false, "", "FILE", line);
  TCLAP::ValueArg<std::string> requestId(
    "", "request-id", "Makes a repeated command get its first answer.", false,
    "", "ID", line);
  TCLAP::UnlabeledMultiArg<std::string> words(
    "command", "Command and its arguments.", true, "COMMAND", line);
  line.parse(aCount, aValues);

  Arguments arguments = words.getValue();
  const std::string name = arguments.front();
  arguments.erase(arguments.begin());
  const auto servers = ParseServers(server.getValue());
  if (!servers.ok() || servers->empty()) {
    return UsageError("--server expects IP:PORT,...");
  }
  client::ApiClient api(*servers, key.getValue());
  const Context context{ api, output.getValue() == "json",
                         requestId.getValue() };
  for (const auto& command : AllCommands()) {
    if (command.name_ != name) {
      continue;
    }
    if (arguments.size() < command.minArguments_ ||
        arguments.size() > command.maxArguments_) {
      return UsageError(name + " expects " + command.arguments_);
    }
    if (!command.run_) {
      return file.getValue().empty()
               ? UsageError("apply expects -f FILE")
               : ExitCodeOf(client::Apply(context, file.getValue()));
    }
    return ExitCodeOf(command.run_(context, arguments));
  }
  return UsageError("there is no command " + name);
}

} // namespace

int
main(int aCount, char** aValues)
{
  try {
    return Run(aCount, aValues);
  } catch (const std::exception& error) {
    std::cerr << "cactuswick: " << error.what() << "\n";
    return kExitFailed;
  }
}

#include "process/CommandTable.h"

#include <absl/strings/numbers.h>

#include "cactuswick/model/process/Error.h"
#include "process/CheckCommand.h"

namespace cactuswick::client {

namespace {

using Context = CommandContext;

absl::StatusOr<int64_t>
ParseAmount(const std::string& aText)
{
  int64_t amount = 0;
  if (!absl::SimpleAtoi(aText, &amount) || amount < 1) {
    return model::MakeError(
      model::ErrorKind::kOutOfRange, "amount", "expected a positive integer");
  }
  return amount;
}

/// Command with a name and an amount as arguments.
using AmountCommand = absl::Status (*)(const Context&,
                                       const std::string&,
                                       int64_t);

auto
WithAmount(AmountCommand aCommand)
{
  return
    [aCommand](const Context& aContext, const CommandArguments& aArguments) {
      const auto amount = ParseAmount(aArguments[1]);
      return amount.ok() ? aCommand(aContext, aArguments[0], *amount)
                         : amount.status();
    };
}

/// Command with a name as its argument.
using NameCommand = absl::Status (*)(const Context&, const std::string&);

auto
WithName(NameCommand aCommand)
{
  return
    [aCommand](const Context& aContext, const CommandArguments& aArguments) {
      return aCommand(aContext, aArguments[0]);
    };
}

absl::Status
RunWatch(const Context& aContext, const CommandArguments& aArguments)
{
  if (aArguments.empty()) {
    return Watch(aContext, 0);
  }
  const auto changes = ParseAmount(aArguments[0]);
  return changes.ok() ? Watch(aContext, static_cast<int>(*changes))
                      : changes.status();
}

absl::Status
RunEndRouter(const Context& aContext, const CommandArguments& aArguments)
{
  const auto incarnation = ParseAmount(aArguments[0]);
  return incarnation.ok() ? EndRouter(aContext, *incarnation)
                          : incarnation.status();
}

absl::Status
RunReport(const Context& aContext, const CommandArguments& aArguments)
{
  return ReportBurn(aContext, aArguments.size() > 1 ? aArguments[1] : "table");
}

std::vector<CommandEntry>
ResourceCommands()
{
  return {
    { "apply", "-f FILE", "create or change the resources of a JSON file" },
    { "check",
      "FILE [--against FILE]",
      "check a configuration before it is sent",
      1,
      1,
      {},
      [](const Context& aContext, const CommandArguments& aArguments) {
        return CheckFile(aContext, aArguments[0]);
      },
      kCheckExitCannotCheck },
    { "get", "TYPE[/NAME]", "show resources or budgets", 1, 1, WithName(Get) },
    { "describe",
      "TYPE/NAME",
      "show one, and the routers that have it in force",
      1,
      1,
      WithName(Describe) },
    { "watch",
      "[CHANGES]",
      "print configuration revisions as they take effect",
      0,
      1,
      RunWatch },
    { "delete",
      "TYPE/NAME",
      "delete a resource or a used-up budget",
      1,
      1,
      WithName(Delete) },
    { "topup",
      "WORKSPACE/BUDGET TOKENS",
      "add prepaid tokens",
      2,
      2,
      WithAmount(TopUp) },
    { "release",
      "WORKSPACE/BUDGET TOKENS",
      "release held tokens",
      2,
      2,
      WithAmount(Release) },
    { "key",
      "WORKSPACE NAME",
      "create an API key; it is printed once",
      2,
      2,
      [](const Context& aContext, const CommandArguments& aArguments) {
        return CreateKey(aContext, aArguments[0], aArguments[1]);
      } },
  };
}

std::vector<CommandEntry>
DeploymentCommands()
{
  return {
    { "status",
      "",
      "show control replicas and routers",
      0,
      0,
      [](const Context& aContext, const CommandArguments&) {
        return Status(aContext);
      } },
    { "drain",
      "ROUTER",
      "drain and stop a router (address:port)",
      1,
      1,
      WithName(Drain) },
    { "end-router",
      "INCARNATION",
      "declare a router permanently dead",
      1,
      1,
      RunEndRouter },
    { "quarantine",
      "PART",
      "refuse requests with a prompt part that crashes endpoints",
      1,
      1,
      WithName(Quarantine) },
    { "lift",
      "PART",
      "end the quarantine of a prompt part",
      1,
      1,
      WithName(LiftQuarantine) },
    { "evacuate",
      "DOMAIN start|finish",
      "send no new requests to a failure domain, or end that",
      2,
      2,
      [](const Context& aContext, const CommandArguments& aArguments) {
        return Evacuate(aContext, aArguments[0], aArguments[1]);
      } },
    { "replica",
      "add|remove ID",
      "add or remove a control replica",
      2,
      2,
      [](const Context& aContext, const CommandArguments& aArguments) {
        return ChangeReplica(aContext, aArguments[0], aArguments[1]);
      } },
    { "report",
      "burn [table|json|html]",
      "print the burn rates of the service-level objectives",
      1,
      2,
      RunReport },
  };
}

} // namespace

const std::vector<CommandEntry>&
AllCommands()
{
  static const auto kAll = [] {
    auto all = ResourceCommands();
    const auto rest = DeploymentCommands();
    all.insert(all.end(), rest.begin(), rest.end());
    return all;
  }();
  return kAll;
}

} // namespace cactuswick::client

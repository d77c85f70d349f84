#pragma once

#include <string>
#include <vector>

#include <absl/status/status.h>

#include "cactuswick/model/version/Resource.h"
#include "process/ApiClient.h"

namespace cactuswick::client {

/// Parameters shared by all commands.
struct CommandContext
{
  ApiClient& api_;
  bool json_ = false;
  /// Idempotency id of the operator; generated when empty.
  std::string requestId_;
  /// File that a check takes as the version in force.
  std::string against_ = {};
  bool hasServer_ = true;
};

/// Reads all resources in force, with budgets, from a router.
absl::StatusOr<std::vector<model::Resource>>
ResourcesInForce(const CommandContext& aContext);

/// Applies the resources of a JSON file: one object, or a list of them.
absl::Status
Apply(const CommandContext& aContext, const std::string& aFile);

/// Shows one resource ("rank/urgent") or all of a type ("rank").
absl::Status
Get(const CommandContext& aContext, const std::string& aKey);

/// Shows a resource with the routers that have it in force.
absl::Status
Describe(const CommandContext& aContext, const std::string& aKey);

/// Prints configuration revisions as they take effect, at most @p aChanges of
/// them; 0 means no limit.
absl::Status
Watch(const CommandContext& aContext, int aChanges);

absl::Status
Delete(const CommandContext& aContext, const std::string& aKey);

absl::Status
TopUp(const CommandContext& aContext,
      const std::string& aBudget,
      int64_t aAmount);

/// Releases held tokens of a budget.
absl::Status
Release(const CommandContext& aContext,
        const std::string& aBudget,
        int64_t aAmount);

absl::Status
Status(const CommandContext& aContext);

/// Makes a router leave the entry list, drain and stop.
absl::Status
Drain(const CommandContext& aContext, const std::string& aRouter);

/// Declares a router incarnation permanently dead.
absl::Status
EndRouter(const CommandContext& aContext, int64_t aIncarnation);

/// Makes all routers refuse requests with a prompt part.
absl::Status
Quarantine(const CommandContext& aContext, const std::string& aPart);

/// Ends the quarantine of a prompt part.
absl::Status
LiftQuarantine(const CommandContext& aContext, const std::string& aPart);

/// Starts or finishes (@p aStep) the evacuation of a failure domain: its
/// endpoints get no new requests.
absl::Status
Evacuate(const CommandContext& aContext,
         const std::string& aFailureDomain,
         const std::string& aStep);

/// Adds a waiting control replica, or removes one.
absl::Status
ChangeReplica(const CommandContext& aContext,
              const std::string& aAction,
              const std::string& aId);

/// Creates an API key for a workspace, prints it once and stores its hash.
absl::Status
CreateKey(const CommandContext& aContext,
          const std::string& aWorkspace,
          const std::string& aName);

/// Prints the service-level burn report, as a table, JSON or HTML.
absl::Status
ReportBurn(const CommandContext& aContext, const std::string& aFormat);

} // namespace cactuswick::client

#pragma once

#include <string>
#include <vector>

#include <absl/status/status.h>

#include "process/ApiClient.h"

namespace cactuswick::client {

/// What all commands share.
struct CommandContext
{
  ApiClient& api_;
  bool json_ = false;
  /// The operator's idempotency id; empty makes one up.
  std::string requestId_;
};

/// Applies the resources of a JSON file: one object, or a list of them.
absl::Status
Apply(const CommandContext& aContext, const std::string& aFile);

/// Shows one resource ("rank/urgent") or all of a type ("rank").
absl::Status
Get(const CommandContext& aContext, const std::string& aKey);

/// Shows a resource with the routers that have it in force.
absl::Status
Describe(const CommandContext& aContext, const std::string& aKey);

/// Prints configuration revisions as they come into force, at most
/// @p aChanges of them; 0 goes on until interrupted.
absl::Status
Watch(const CommandContext& aContext, int aChanges);

absl::Status
Delete(const CommandContext& aContext, const std::string& aKey);

absl::Status
TopUp(const CommandContext& aContext,
      const std::string& aBudget,
      int64_t aAmount);

/// Frees held tokens of a budget.
absl::Status
Release(const CommandContext& aContext,
        const std::string& aBudget,
        int64_t aAmount);

absl::Status
Status(const CommandContext& aContext);

/// Tells one router to leave the entry list, drain and stop.
absl::Status
Drain(const CommandContext& aContext, const std::string& aRouter);

/// States that a router incarnation is dead for good.
absl::Status
EndRouter(const CommandContext& aContext, int64_t aIncarnation);

/// Adds a waiting control replica, or removes one.
absl::Status
ChangeReplica(const CommandContext& aContext,
              const std::string& aAction,
              const std::string& aId);

/// Makes an API key for a workspace; prints it once and stores its hash.
absl::Status
CreateKey(const CommandContext& aContext,
          const std::string& aWorkspace,
          const std::string& aName);

/// Prints the service-level burn report, as a table, JSON or HTML.
absl::Status
ReportBurn(const CommandContext& aContext, const std::string& aFormat);

} // namespace cactuswick::client

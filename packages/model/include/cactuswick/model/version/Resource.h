#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include <absl/status/status.h>

#include "cactuswick/model/process/Fields.h"

/// Resources that operators declare, each with a version that only increases.
namespace cactuswick::model {

/// An amount of prepaid tokens.
using Tokens = int64_t;

/// Upper limit of one top-up, grant or reservation.
inline constexpr Tokens kMaxTokens = Tokens{ 1 } << 50;

/// A tenant, which owns budgets and API keys.
struct Workspace
{
  std::string name_;
  /// Weight in fair queueing relative to other workspaces.
  int64_t weight_ = 1;
  /// Upper limit of requests in flight or queued at one router.
  int64_t maxConcurrent_ = 256;

  bool operator==(const Workspace&) const = default;
};

/// A prepaid budget; its name is "workspace/budget".
struct Budget
{
  std::string name_;

  bool operator==(const Budget&) const = default;
};

/// A priority class of requests. Priority 0 is served first.
struct Rank
{
  std::string name_;
  int64_t priority_ = 0;
  /// Minimum share of dispatched tokens, whatever the load of other ranks.
  int64_t floorPercent_ = 0;
  int64_t firstTokenTargetMs_ = 920;
  /// Deadline of requests that do not set one.
  int64_t deadlineMs_ = 30'000;
  /// Longest useful queueing time; 0 if it is limited only by the deadline.
  int64_t maxWaitMs_ = 0;

  bool operator==(const Rank&) const = default;
};

/// A language model that endpoints may serve.
struct Model
{
  std::string name_;
  int64_t maxOutputTokens_ = 4'096;

  bool operator==(const Model&) const = default;
};

/// A plain service that endpoints may serve.
struct Service
{
  std::string name_;
  /// Price of one call.
  Tokens priceTokens_ = 0;

  bool operator==(const Service&) const = default;
};

/// An API key of a workspace, of which only the SHA-256 is stored.
struct ApiKey
{
  std::string name_;
  std::string workspace_;
  std::string sha256_;

  bool operator==(const ApiKey&) const = default;
};

/// Actions that an operator can order an endpoint to take.
enum class OrderAction
{
  kLoad,
  kUnload,
  kRole,
};

/// An operator's order to the endpoint of the same name. The revision of each
/// accepted change is the fencing number of the order.
struct Order
{
  std::string name_;
  OrderAction action_ = OrderAction::kLoad;
  /// Model to load or unload, or role to assume.
  std::string target_;

  bool operator==(const Order&) const = default;
};

using Spec =
  std::variant<Workspace, Budget, Rank, Model, Service, ApiKey, Order>;

/// A resource as it is stored in the ledger.
struct Resource
{
  Spec spec_;
  /// Increases by one with each accepted change of this resource.
  int64_t version_ = 0;
  /// Configuration revision at which this version took effect.
  int64_t revision_ = 0;
  bool deleted_ = false;

  bool operator==(const Resource&) const = default;
};

/// Returns the resource name in @p aSpec.
const std::string&
NameOf(const Spec& aSpec);

/// Returns the type name of @p aSpec, such as "workspace".
std::string_view
TypeOf(const Spec& aSpec);

/// Returns "type/name", the key under which a resource is stored.
std::string
KeyOf(const Spec& aSpec);

/// Returns the workspace part of a budget's name.
std::string_view
WorkspaceOfBudget(std::string_view aBudget);

/// Validates names and ranges. Errors are kMalformed or kOutOfRange; FieldOf()
/// names the offending field.
absl::Status
Validate(const Spec& aSpec);

/// Validates a resource name: 1 to 63 lower-case letters, digits, '-', '_' or
/// '.'. @p aField is the field that the error names.
absl::Status
ValidateName(std::string_view aField, std::string_view aName);

constexpr std::string_view
TypeNameOf(const Workspace*)
{
  return "workspace";
}
constexpr std::string_view
TypeNameOf(const Budget*)
{
  return "budget";
}
constexpr std::string_view
TypeNameOf(const Rank*)
{
  return "rank";
}
constexpr std::string_view
TypeNameOf(const Model*)
{
  return "model";
}
constexpr std::string_view
TypeNameOf(const Service*)
{
  return "service";
}
constexpr std::string_view
TypeNameOf(const ApiKey*)
{
  return "apikey";
}

constexpr std::string_view
TypeNameOf(const Order*)
{
  return "order";
}
constexpr std::string_view
TypeNameOf(const Resource*)
{
  return "resource";
}

constexpr auto
FieldsOf(const Workspace*)
{
  return MakeFields(Field{ "name", &Workspace::name_ },
                    Field{ "weight", &Workspace::weight_ },
                    Field{ "max_concurrent", &Workspace::maxConcurrent_ });
}
constexpr auto
FieldsOf(const Budget*)
{
  return MakeFields(Field{ "name", &Budget::name_ });
}
constexpr auto
FieldsOf(const Rank*)
{
  return MakeFields(
    Field{ "name", &Rank::name_ },
    Field{ "priority", &Rank::priority_ },
    Field{ "floor_percent", &Rank::floorPercent_ },
    Field{ "first_token_target_ms", &Rank::firstTokenTargetMs_ },
    Field{ "deadline_ms", &Rank::deadlineMs_ },
    Field{ "max_wait_ms", &Rank::maxWaitMs_ });
}
constexpr auto
FieldsOf(const Model*)
{
  return MakeFields(Field{ "name", &Model::name_ },
                    Field{ "max_output_tokens", &Model::maxOutputTokens_ });
}
constexpr auto
FieldsOf(const Service*)
{
  return MakeFields(Field{ "name", &Service::name_ },
                    Field{ "price_tokens", &Service::priceTokens_ });
}
constexpr auto
FieldsOf(const ApiKey*)
{
  return MakeFields(Field{ "name", &ApiKey::name_ },
                    Field{ "workspace", &ApiKey::workspace_ },
                    Field{ "sha256", &ApiKey::sha256_ });
}
constexpr std::array<std::string_view, 3>
EnumNames(const OrderAction*)
{
  return { "load", "unload", "role" };
}
constexpr auto
FieldsOf(const Order*)
{
  return MakeFields(Field{ "name", &Order::name_ },
                    Field{ "action", &Order::action_ },
                    Field{ "target", &Order::target_ });
}
constexpr auto
FieldsOf(const Resource*)
{
  return MakeFields(Field{ "spec", &Resource::spec_ },
                    Field{ "version", &Resource::version_ },
                    Field{ "revision", &Resource::revision_ },
                    Field{ "deleted", &Resource::deleted_ });
}

} // namespace cactuswick::model

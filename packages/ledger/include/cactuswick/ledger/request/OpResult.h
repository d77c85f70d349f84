#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "cactuswick/ledger/request/RouterOp.h"

/// What the ledger answers to routers' operations.
namespace cactuswick::ledger {

/// Answer to AcquireGrant; @c granted_ is 0 when the minimum was not free.
struct GrantResult
{
  Tokens granted_ = 0;
  Tokens available_ = 0;
  /// Tokens of this budget in other routers' grants, or held.
  Tokens elsewhere_ = 0;
  /// Those of them that are held: nobody can give them back.
  Tokens held_ = 0;
  bool budgetExists_ = true;

  bool operator==(const GrantResult&) const = default;
};

/// What became of a settlement.
enum class SettleState
{
  kBilled,
  /// The key was billed before: this settlement costs what is charged here,
  /// often nothing.
  kDuplicate,
  /// Too old to be told from a duplicate: held, never billed.
  kHeld,
  /// The holder has no such grant any more; nothing was billed.
  kUnaccounted,
};

/// Answer to Settle.
struct SettleResult
{
  SettleState state_ = SettleState::kBilled;
  /// Tokens taken from the holder's grant.
  Tokens charged_ = 0;

  bool operator==(const SettleResult&) const = default;
};

/// Answer to Claim; not granted means that the key was claimed before.
struct ClaimResult
{
  bool granted_ = false;
  bool keyReused_ = false;
  /// The table of claims is full; nothing was claimed.
  bool full_ = false;
  ClaimState state_ = ClaimState::kRunning;
  int64_t httpStatus_ = 0;
  std::string body_;

  bool operator==(const ClaimResult&) const = default;
};

/// Answer to BeginOrder.
struct OrderResult
{
  /// The router alone may give this order now, within kOrderLeaseMs.
  bool granted_ = false;
  /// It has been given already, or a newer one has.
  bool obsolete_ = false;

  bool operator==(const OrderResult&) const = default;
};

/// Answer to the operations that have nothing to say.
struct Done
{
  bool operator==(const Done&) const = default;
};

using OpResult =
  std::variant<Done, GrantResult, SettleResult, ClaimResult, OrderResult>;

constexpr std::array<std::string_view, 4>
EnumNames(const SettleState*)
{
  return { "billed", "duplicate", "held", "unaccounted" };
}

constexpr std::string_view
TypeNameOf(const OrderResult*)
{
  return "order";
}
constexpr std::string_view
TypeNameOf(const Done*)
{
  return "done";
}
constexpr std::string_view
TypeNameOf(const GrantResult*)
{
  return "grant";
}
constexpr std::string_view
TypeNameOf(const SettleResult*)
{
  return "settled";
}
constexpr std::string_view
TypeNameOf(const ClaimResult*)
{
  return "claimed";
}

constexpr auto
FieldsOf(const OrderResult*)
{
  return model::MakeFields(model::Field{ "granted", &OrderResult::granted_ },
                           model::Field{ "obsolete", &OrderResult::obsolete_ });
}
constexpr auto
FieldsOf(const Done*)
{
  return model::MakeFields();
}
constexpr auto
FieldsOf(const GrantResult*)
{
  return model::MakeFields(
    model::Field{ "granted", &GrantResult::granted_ },
    model::Field{ "available", &GrantResult::available_ },
    model::Field{ "elsewhere", &GrantResult::elsewhere_ },
    model::Field{ "held", &GrantResult::held_ },
    model::Field{ "budget_exists", &GrantResult::budgetExists_ });
}
constexpr auto
FieldsOf(const SettleResult*)
{
  return model::MakeFields(model::Field{ "state", &SettleResult::state_ },
                           model::Field{ "charged", &SettleResult::charged_ });
}
constexpr auto
FieldsOf(const ClaimResult*)
{
  return model::MakeFields(
    model::Field{ "granted", &ClaimResult::granted_ },
    model::Field{ "key_reused", &ClaimResult::keyReused_ },
    model::Field{ "full", &ClaimResult::full_ },
    model::Field{ "state", &ClaimResult::state_ },
    model::Field{ "http_status", &ClaimResult::httpStatus_ },
    model::Field{ "body", &ClaimResult::body_ });
}

} // namespace cactuswick::ledger

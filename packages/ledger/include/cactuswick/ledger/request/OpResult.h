#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "cactuswick/ledger/request/RouterOp.h"

/// Results of the ledger operations that routers send.
namespace cactuswick::ledger {

/// Result of AcquireGrant; @c granted_ is 0 if the minimum was not available.
struct GrantResult
{
  Tokens granted_ = 0;
  Tokens available_ = 0;
  /// Tokens of this budget that are held, kept for others, or in other routers'
  /// grants.
  Tokens elsewhere_ = 0;
  /// The part of @c elsewhere_ that is held or kept: no router can return it.
  Tokens held_ = 0;
  bool budgetExists_ = true;

  bool operator==(const GrantResult&) const = default;
};

/// Outcome of a settlement.
enum class SettleState
{
  kBilled,
  /// The key was billed before: only the excess over the earlier amount is
  /// charged, often nothing.
  kDuplicate,
  /// Too old to be told apart from a duplicate: held instead of billed.
  kHeld,
  /// The holder's grant does not cover the amount; nothing was billed.
  kUnaccounted,
};

/// Result of Settle.
struct SettleResult
{
  SettleState state_ = SettleState::kBilled;
  /// Tokens taken from the holder's grant.
  Tokens charged_ = 0;

  bool operator==(const SettleResult&) const = default;
};

/// Result of Claim. If it is not granted and @c full_ is false, the key was
/// claimed before and the other fields describe that claim.
struct ClaimResult
{
  bool granted_ = false;
  /// The key was claimed with a different request body.
  bool keyReused_ = false;
  /// The claim table is full; nothing was claimed.
  bool full_ = false;
  ClaimState state_ = ClaimState::kRunning;
  int64_t httpStatus_ = 0;
  std::string body_;

  bool operator==(const ClaimResult&) const = default;
};

/// Result of BeginOrder.
struct OrderResult
{
  /// The router has the exclusive lease to issue this order for
  /// kOrderLeaseMs.
  bool granted_ = false;
  /// This order or a newer one was already begun.
  bool obsolete_ = false;

  bool operator==(const OrderResult&) const = default;
};

/// Result of ProbePart.
struct ProbeResult
{
  /// The router may send one request with the part.
  bool granted_ = false;

  bool operator==(const ProbeResult&) const = default;
};

/// Result of the operations that return no data.
struct EmptyResult
{
  bool operator==(const EmptyResult&) const = default;
};

using OpResult = std::variant<EmptyResult,
                              GrantResult,
                              SettleResult,
                              ClaimResult,
                              OrderResult,
                              ProbeResult>;

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
TypeNameOf(const EmptyResult*)
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

constexpr std::string_view
TypeNameOf(const ProbeResult*)
{
  return "probe";
}

constexpr auto
FieldsOf(const ProbeResult*)
{
  return model::MakeFields(model::Field{ "granted", &ProbeResult::granted_ });
}
constexpr auto
FieldsOf(const OrderResult*)
{
  return model::MakeFields(model::Field{ "granted", &OrderResult::granted_ },
                           model::Field{ "obsolete", &OrderResult::obsolete_ });
}
constexpr auto
FieldsOf(const EmptyResult*)
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

#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "cactuswick/model/process/Error.h"
#include "cactuswick/model/process/Fields.h"
#include "cactuswick/model/version/Resource.h"

/// What a router asks of the ledger on behalf of its requests.
namespace cactuswick::ledger {

using model::Tokens;

/// Identifies one life of one router process; assigned by the ledger and never
/// used again.
using Incarnation = int64_t;

/// Milliseconds of log time: rises with the leader's steady clock only.
using LogTimeMs = int64_t;

/// Asks for tokens of a budget: @c want_, or at the least @c minimum_.
struct AcquireGrant
{
  std::string budget_;
  Tokens want_ = 0;
  Tokens minimum_ = 0;
  /// Asked for ahead of need: nobody is recalled for it.
  bool ahead_ = false;

  bool operator==(const AcquireGrant&) const = default;
};

/// Gives back tokens that the router will not spend.
struct ReturnGrant
{
  std::string budget_;
  Tokens amount_ = 0;

  bool operator==(const ReturnGrant&) const = default;
};

/// Bills one request out of the holder's grant. Several settlements under one
/// key bill the largest of their amounts, in whatever order they come.
struct Settle
{
  /// The router that served the request; another may hand this in for it.
  Incarnation holder_ = 0;
  /// Unique for the holder; tells a resend from a second settlement.
  int64_t number_ = 0;
  std::string budget_;
  /// The caller's idempotency key.
  std::string key_;
  /// Hash of the request's body: one key with two bodies is two requests.
  int64_t fingerprint_ = 0;
  Tokens amount_ = 0;
  /// Log time known to the holder when it admitted the request.
  LogTimeMs startedMs_ = 0;

  bool operator==(const Settle&) const = default;
};

/// Bills what several finished requests used together out of the sender's
/// grant.
struct ReportUse
{
  std::string budget_;
  Tokens amount_ = 0;

  bool operator==(const ReportUse&) const = default;
};

/// Says that the sender has given a part of its grant to another router.
struct MoveGrant
{
  std::string budget_;
  Incarnation to_ = 0;
  Tokens amount_ = 0;

  bool operator==(const MoveGrant&) const = default;
};

/// Claims the only run of a non-idempotent call.
struct Claim
{
  std::string workspace_;
  std::string key_;
  int64_t fingerprint_ = 0;

  bool operator==(const Claim&) const = default;
};

/// How far a claimed call has come.
enum class ClaimState
{
  kRunning,
  kDone,
  kNotRun,
  kUnknown,
};

/// Records how a claimed call ended.
struct ResolveClaim
{
  std::string workspace_;
  std::string key_;
  ClaimState state_ = ClaimState::kUnknown;
  int64_t httpStatus_ = 0;
  std::string body_;

  bool operator==(const ResolveClaim&) const = default;
};

/// Asks to give an order to its endpoint.
struct BeginOrder
{
  std::string endpoint_;
  /// Revision of the order: its fencing number.
  int64_t fence_ = 0;

  bool operator==(const BeginOrder&) const = default;
};

/// How an order to an endpoint ended.
enum class OrderState
{
  kRunning,
  kDone,
  kRefused,
  kUnknown,
};

/// Records how an order ended.
struct EndOrder
{
  std::string endpoint_;
  int64_t fence_ = 0;
  OrderState state_ = OrderState::kUnknown;

  bool operator==(const EndOrder&) const = default;
};

/// Says that the router holds no copies of a dead router's settlements.
struct ConfirmNoCopies
{
  Incarnation deadRouter_ = 0;

  bool operator==(const ConfirmNoCopies&) const = default;
};

/// Says that the router takes no new callers.
struct SetDraining
{
  bool operator==(const SetDraining&) const = default;
};

/// Says that a router drained fully: nothing pending, nothing in flight.
struct Goodbye
{
  bool operator==(const Goodbye&) const = default;
};

/// Regular sign of life.
struct Heartbeat
{
  /// Newest configuration revision in force at the router.
  int64_t appliedRevision_ = 0;
  /// Every settlement started before this log time has been handed in.
  LogTimeMs settledBeforeMs_ = 0;
  /// Other routers keep copies of settlements that are not committed yet.
  bool copiesOut_ = false;

  bool operator==(const Heartbeat&) const = default;
};

using RouterOp = std::variant<AcquireGrant,
                              ReturnGrant,
                              Settle,
                              Claim,
                              ResolveClaim,
                              BeginOrder,
                              EndOrder,
                              ConfirmNoCopies,
                              SetDraining,
                              Goodbye,
                              Heartbeat,
                              ReportUse,
                              MoveGrant>;

constexpr std::array<std::string_view, 4>
EnumNames(const ClaimState*)
{
  return { "running", "done", "not_run", "unknown" };
}
constexpr std::array<std::string_view, 4>
EnumNames(const OrderState*)
{
  return { "running", "done", "refused", "unknown" };
}

constexpr std::string_view
TypeNameOf(const AcquireGrant*)
{
  return "acquire";
}
constexpr std::string_view
TypeNameOf(const ReturnGrant*)
{
  return "return";
}
constexpr std::string_view
TypeNameOf(const Settle*)
{
  return "settle";
}
constexpr std::string_view
TypeNameOf(const Claim*)
{
  return "claim";
}
constexpr std::string_view
TypeNameOf(const ResolveClaim*)
{
  return "resolve";
}
constexpr std::string_view
TypeNameOf(const BeginOrder*)
{
  return "begin_order";
}
constexpr std::string_view
TypeNameOf(const EndOrder*)
{
  return "end_order";
}
constexpr std::string_view
TypeNameOf(const ConfirmNoCopies*)
{
  return "no_copies";
}
constexpr std::string_view
TypeNameOf(const SetDraining*)
{
  return "draining";
}
constexpr std::string_view
TypeNameOf(const Goodbye*)
{
  return "goodbye";
}
constexpr std::string_view
TypeNameOf(const Heartbeat*)
{
  return "heartbeat";
}
constexpr std::string_view
TypeNameOf(const ReportUse*)
{
  return "use";
}
constexpr std::string_view
TypeNameOf(const MoveGrant*)
{
  return "move";
}

constexpr auto
FieldsOf(const AcquireGrant*)
{
  return model::MakeFields(model::Field{ "budget", &AcquireGrant::budget_ },
                           model::Field{ "want", &AcquireGrant::want_ },
                           model::Field{ "minimum", &AcquireGrant::minimum_ },
                           model::Field{ "ahead", &AcquireGrant::ahead_ });
}
constexpr auto
FieldsOf(const ReturnGrant*)
{
  return model::MakeFields(model::Field{ "budget", &ReturnGrant::budget_ },
                           model::Field{ "amount", &ReturnGrant::amount_ });
}
constexpr auto
FieldsOf(const ReportUse*)
{
  return model::MakeFields(model::Field{ "budget", &ReportUse::budget_ },
                           model::Field{ "amount", &ReportUse::amount_ });
}
constexpr auto
FieldsOf(const MoveGrant*)
{
  return model::MakeFields(model::Field{ "budget", &MoveGrant::budget_ },
                           model::Field{ "to", &MoveGrant::to_ },
                           model::Field{ "amount", &MoveGrant::amount_ });
}
constexpr auto
FieldsOf(const Settle*)
{
  return model::MakeFields(model::Field{ "holder", &Settle::holder_ },
                           model::Field{ "number", &Settle::number_ },
                           model::Field{ "budget", &Settle::budget_ },
                           model::Field{ "key", &Settle::key_ },
                           model::Field{ "fingerprint", &Settle::fingerprint_ },
                           model::Field{ "amount", &Settle::amount_ },
                           model::Field{ "started_ms", &Settle::startedMs_ });
}
constexpr auto
FieldsOf(const Claim*)
{
  return model::MakeFields(model::Field{ "workspace", &Claim::workspace_ },
                           model::Field{ "key", &Claim::key_ },
                           model::Field{ "fingerprint", &Claim::fingerprint_ });
}
constexpr auto
FieldsOf(const ResolveClaim*)
{
  return model::MakeFields(
    model::Field{ "workspace", &ResolveClaim::workspace_ },
    model::Field{ "key", &ResolveClaim::key_ },
    model::Field{ "state", &ResolveClaim::state_ },
    model::Field{ "http_status", &ResolveClaim::httpStatus_ },
    model::Field{ "body", &ResolveClaim::body_ });
}
constexpr auto
FieldsOf(const BeginOrder*)
{
  return model::MakeFields(model::Field{ "endpoint", &BeginOrder::endpoint_ },
                           model::Field{ "fence", &BeginOrder::fence_ });
}
constexpr auto
FieldsOf(const EndOrder*)
{
  return model::MakeFields(model::Field{ "endpoint", &EndOrder::endpoint_ },
                           model::Field{ "fence", &EndOrder::fence_ },
                           model::Field{ "state", &EndOrder::state_ });
}
constexpr auto
FieldsOf(const ConfirmNoCopies*)
{
  return model::MakeFields(
    model::Field{ "dead", &ConfirmNoCopies::deadRouter_ });
}
constexpr auto
FieldsOf(const SetDraining*)
{
  return model::MakeFields();
}
constexpr auto
FieldsOf(const Goodbye*)
{
  return model::MakeFields();
}
constexpr auto
FieldsOf(const Heartbeat*)
{
  return model::MakeFields(
    model::Field{ "applied_revision", &Heartbeat::appliedRevision_ },
    model::Field{ "settled_before_ms", &Heartbeat::settledBeforeMs_ },
    model::Field{ "copies_out", &Heartbeat::copiesOut_ });
}

} // namespace cactuswick::ledger

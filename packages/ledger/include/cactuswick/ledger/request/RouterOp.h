#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "cactuswick/model/process/Error.h"
#include "cactuswick/model/process/Fields.h"
#include "cactuswick/model/version/Resource.h"

/// Operations that a router sends to the ledger.
namespace cactuswick::ledger {

using model::Tokens;

/// Identifies one run of one router process; assigned by the ledger and never
/// reused.
using Incarnation = int64_t;

/// Milliseconds of log time, which advances only with the leader's steady
/// clock.
using LogTimeMs = int64_t;

/// Requests tokens of a budget: @c want_, or at least @c minimum_.
struct AcquireGrant
{
  std::string budget_;
  Tokens want_ = 0;
  Tokens minimum_ = 0;
  /// Requested before the tokens are needed: recalls no other router's grant.
  bool prefetch_ = false;
  /// For a stream that its caller takes up again: also from what is kept for
  /// these.
  bool takesUp_ = false;

  bool operator==(const AcquireGrant&) const = default;
};

/// Returns granted tokens that the router will not spend.
struct ReturnGrant
{
  std::string budget_;
  Tokens amount_ = 0;

  bool operator==(const ReturnGrant&) const = default;
};

/// Bills one request from the holder's grant. Several settlements with the same
/// key bill the largest of their amounts, regardless of their order.
struct Settle
{
  /// The router that served the request; another router may submit the
  /// settlement for it.
  Incarnation holder_ = 0;
  /// Unique per holder; tells a resend from a second settlement.
  int64_t number_ = 0;
  std::string budget_;
  /// The caller's idempotency key.
  std::string key_;
  /// Hash of the request body: the same key with another body is another
  /// request.
  int64_t fingerprint_ = 0;
  Tokens amount_ = 0;
  /// Latest log time known to the holder when it admitted the request.
  LogTimeMs startedMs_ = 0;

  bool operator==(const Settle&) const = default;
};

/// Bills the combined usage of several finished requests from the sender's
/// grant.
struct ReportUsage
{
  std::string budget_;
  Tokens amount_ = 0;

  bool operator==(const ReportUsage&) const = default;
};

/// Reports that the sender has transferred a part of its grant to another
/// router.
struct MoveGrant
{
  std::string budget_;
  Incarnation to_ = 0;
  Tokens amount_ = 0;

  bool operator==(const MoveGrant&) const = default;
};

/// Claims the exclusive right to execute a non-idempotent call.
struct Claim
{
  std::string workspace_;
  std::string key_;
  int64_t fingerprint_ = 0;

  bool operator==(const Claim&) const = default;
};

/// Progress of a claimed call.
enum class ClaimState
{
  kRunning,
  kDone,
  /// Never dispatched: the key may be claimed again.
  kNotRun,
  /// Possibly executed, for example by a router that died.
  kUnknown,
};

/// Records the outcome of a claimed call.
struct ResolveClaim
{
  std::string workspace_;
  std::string key_;
  ClaimState state_ = ClaimState::kUnknown;
  int64_t httpStatus_ = 0;
  std::string body_;

  bool operator==(const ResolveClaim&) const = default;
};

/// Requests the lease to issue an operator's order to an endpoint.
struct BeginOrder
{
  std::string endpoint_;
  /// Fencing token: the revision of the order.
  int64_t fence_ = 0;

  bool operator==(const BeginOrder&) const = default;
};

/// Progress of an order to an endpoint.
enum class OrderState
{
  kRunning,
  kDone,
  kRefused,
  kUnknown,
};

/// Records the outcome of an order.
struct EndOrder
{
  std::string endpoint_;
  int64_t fence_ = 0;
  OrderState state_ = OrderState::kUnknown;

  bool operator==(const EndOrder&) const = default;
};

/// Confirms that the router holds no copies of a dead router's settlements.
struct ConfirmNoCopies
{
  Incarnation deadRouter_ = 0;

  bool operator==(const ConfirmNoCopies&) const = default;
};

/// Announces that the router accepts no new callers.
struct SetDraining
{
  bool operator==(const SetDraining&) const = default;
};

/// Deregisters a fully drained router: no pending settlements, no requests in
/// flight.
struct DeregisterRouter
{
  bool operator==(const DeregisterRouter&) const = default;
};

/// Periodic liveness and progress report of a router.
struct Heartbeat
{
  /// Newest configuration revision that the router has applied.
  int64_t appliedRevision_ = 0;
  /// Settlements of all requests started before this log time are submitted.
  LogTimeMs settledBeforeMs_ = 0;
  /// Other routers hold copies of uncommitted settlements of this router.
  bool hasRemoteCopies_ = false;

  bool operator==(const Heartbeat&) const = default;
};

/// Requests to send one request with a quarantined prompt part.
struct ProbePart
{
  std::string part_;

  bool operator==(const ProbePart&) const = default;
};

/// Reports that an endpoint responded to a request with a quarantined prompt
/// part, which ends the quarantine.
struct ClearPart
{
  std::string part_;
  /// Start of the quarantine that the response disproves.
  LogTimeMs sinceMs_ = 0;

  bool operator==(const ClearPart&) const = default;
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
                              DeregisterRouter,
                              Heartbeat,
                              ReportUsage,
                              MoveGrant,
                              ProbePart,
                              ClearPart>;

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
TypeNameOf(const DeregisterRouter*)
{
  return "goodbye";
}
constexpr std::string_view
TypeNameOf(const Heartbeat*)
{
  return "heartbeat";
}
constexpr std::string_view
TypeNameOf(const ReportUsage*)
{
  return "use";
}
constexpr std::string_view
TypeNameOf(const MoveGrant*)
{
  return "move";
}

constexpr std::string_view
TypeNameOf(const ProbePart*)
{
  return "probe_part";
}
constexpr std::string_view
TypeNameOf(const ClearPart*)
{
  return "clear_part";
}

constexpr auto
FieldsOf(const AcquireGrant*)
{
  return model::MakeFields(model::Field{ "budget", &AcquireGrant::budget_ },
                           model::Field{ "want", &AcquireGrant::want_ },
                           model::Field{ "minimum", &AcquireGrant::minimum_ },
                           model::Field{ "ahead", &AcquireGrant::prefetch_ },
                           model::Field{ "takes_up", &AcquireGrant::takesUp_ });
}
constexpr auto
FieldsOf(const ReturnGrant*)
{
  return model::MakeFields(model::Field{ "budget", &ReturnGrant::budget_ },
                           model::Field{ "amount", &ReturnGrant::amount_ });
}
constexpr auto
FieldsOf(const ReportUsage*)
{
  return model::MakeFields(model::Field{ "budget", &ReportUsage::budget_ },
                           model::Field{ "amount", &ReportUsage::amount_ });
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
FieldsOf(const ProbePart*)
{
  return model::MakeFields(model::Field{ "part", &ProbePart::part_ });
}
constexpr auto
FieldsOf(const ClearPart*)
{
  return model::MakeFields(model::Field{ "part", &ClearPart::part_ },
                           model::Field{ "since_ms", &ClearPart::sinceMs_ });
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
FieldsOf(const DeregisterRouter*)
{
  return model::MakeFields();
}
constexpr auto
FieldsOf(const Heartbeat*)
{
  return model::MakeFields(
    model::Field{ "applied_revision", &Heartbeat::appliedRevision_ },
    model::Field{ "settled_before_ms", &Heartbeat::settledBeforeMs_ },
    model::Field{ "copies_out", &Heartbeat::hasRemoteCopies_ });
}

} // namespace cactuswick::ledger

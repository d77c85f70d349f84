#pragma once

#include <string>
#include <variant>
#include <vector>

#include "cactuswick/ledger/version/Command.h"

/// State that the ledger keeps; also the records of its snapshots.
namespace cactuswick::ledger {

/// One prepaid budget. Always holds:
/// toppedUp_ >= billed_ + granted_ + held_, but for a declared budget that was
/// lowered below what is out.
struct Account
{
  Tokens toppedUp_ = 0;
  Tokens billed_ = 0;
  /// In grants of routers, not yet billed or returned.
  Tokens granted_ = 0;
  /// Accounted for by nobody; neither billed nor granted again. Below 0 while
  /// a dead router's use of a loan is known and the loan itself is not.
  Tokens held_ = 0;
  int64_t version_ = 0;
  /// The amount is declared as a whole and may fall.
  bool declared_ = false;

  Tokens Available() const { return toppedUp_ - billed_ - granted_ - held_; }
  bool operator==(const Account&) const = default;
};

/// A router's share of a budget.
struct GrantShare
{
  Incarnation holder_ = 0;
  Tokens amount_ = 0;

  bool operator==(const GrantShare&) const = default;
};

enum class RouterState
{
  kServing,
  kDraining,
  /// Dead; its grants wait until no copies of its settlements are left.
  kEnded,
};

/// One router incarnation.
struct RouterRecord
{
  Incarnation incarnation_ = 0;
  std::string vm_;
  std::string failureDomain_;
  std::string region_;
  std::string address_;
  std::string peerAddress_;
  std::string nonce_;
  RouterState state_ = RouterState::kServing;
  /// Of a dead one: incarnations that may still hold copies.
  std::vector<Incarnation> awaiting_;
  /// A possible holder of copies died too: the grants would stay held.
  bool copiesLost_ = false;
  /// A live router that has seen this revision has no copies out any more.
  int64_t copiesLostRevision_ = 0;
  int64_t appliedRevision_ = 0;
  LogTimeMs settledBeforeMs_ = 0;
  LogTimeMs lastSeenMs_ = 0;
  bool reportsLate_ = false;
  /// When routers last had to hear of it.
  int64_t revision_ = 0;

  bool operator==(const RouterRecord&) const = default;
};

/// The declared deployment in force.
struct DeploymentRecord
{
  int64_t version_ = 0;
  /// Packed.
  model::Blob document_;
  int64_t revision_ = 0;

  bool operator==(const DeploymentRecord&) const = default;
};

/// An incarnation of an endpoint that leaves and gets no new requests.
struct RetiredRecord
{
  std::string endpoint_;
  int64_t incarnation_ = 0;
  int64_t revision_ = 0;
  LogTimeMs atMs_ = 0;

  bool operator==(const RetiredRecord&) const = default;
};

/// What changed in the configuration since a revision.
struct ConfigDelta
{
  int64_t revision_ = 0;
  LogTimeMs timeMs_ = 0;
  std::vector<model::Resource> resources_;
  bool routersChanged_ = false;
  /// Routers that are new or changed.
  std::vector<RouterRecord> routers_;
  /// All routers that are known, when any was forgotten; others are.
  std::optional<std::vector<Incarnation>> knownRouters_;
  /// The deployment, when it changed.
  std::optional<DeploymentRecord> deployment_;
  std::vector<RetiredRecord> retired_;

  bool operator==(const ConfigDelta&) const = default;
};

/// A claimed non-idempotent call.
struct ClaimRecord
{
  std::string workspace_;
  std::string key_;
  int64_t fingerprint_ = 0;
  Incarnation holder_ = 0;
  ClaimState state_ = ClaimState::kRunning;
  int64_t httpStatus_ = 0;
  std::string body_;
  LogTimeMs atMs_ = 0;

  bool operator==(const ClaimRecord&) const = default;
};

/// The newest order that was begun at an endpoint.
struct OrderRecord
{
  std::string endpoint_;
  int64_t fence_ = 0;
  Incarnation holder_ = 0;
  OrderState state_ = OrderState::kRunning;
  LogTimeMs atMs_ = 0;

  bool operator==(const OrderRecord&) const = default;
};

/// A top-up that was applied, kept to recognise its resends.
struct TopUpRecord
{
  std::string id_;
  std::string budget_;
  Tokens amount_ = 0;
  LogTimeMs atMs_ = 0;

  bool operator==(const TopUpRecord&) const = default;
};

/// An operator's request that was answered.
struct OperatorRecord
{
  std::string requestId_;
  Reply reply_;
  LogTimeMs atMs_ = 0;

  bool operator==(const OperatorRecord&) const = default;
};

/// The last batch of a router, kept to answer its resend.
struct SessionRecord
{
  Incarnation incarnation_ = 0;
  int64_t sequence_ = 0;
  BatchReply reply_;

  bool operator==(const SessionRecord&) const = default;
};

struct AccountRecord
{
  std::string budget_;
  Account account_;
  std::vector<GrantShare> grants_;

  bool operator==(const AccountRecord&) const = default;
};

/// A billed key: hash, settlement, amount and time.
struct SettledRecord
{
  int64_t high_ = 0;
  int64_t low_ = 0;
  Incarnation holder_ = 0;
  int64_t number_ = 0;
  Tokens amount_ = 0;
  LogTimeMs atMs_ = 0;

  bool operator==(const SettledRecord&) const = default;
};

/// The ledger's counters.
struct CountersRecord
{
  int64_t revision_ = 0;
  int64_t routersRevision_ = 0;
  /// When a router was last forgotten.
  int64_t lastRemovalRevision_ = 0;
  Incarnation lastIncarnation_ = 0;
  LogTimeMs timeMs_ = 0;
  LogTimeMs evictedThroughMs_ = -1;

  bool operator==(const CountersRecord&) const = default;
};

using SnapshotRecord = std::variant<CountersRecord,
                                    AccountRecord,
                                    model::Resource,
                                    RouterRecord,
                                    SessionRecord,
                                    SettledRecord,
                                    ClaimRecord,
                                    OrderRecord,
                                    TopUpRecord,
                                    OperatorRecord,
                                    DeploymentRecord,
                                    RetiredRecord>;

constexpr std::array<std::string_view, 3>
EnumNames(const RouterState*)
{
  return { "serving", "draining", "ended" };
}

constexpr std::string_view
TypeNameOf(const CountersRecord*)
{
  return "counters";
}
constexpr std::string_view
TypeNameOf(const AccountRecord*)
{
  return "account";
}
constexpr std::string_view
TypeNameOf(const RouterRecord*)
{
  return "router";
}
constexpr std::string_view
TypeNameOf(const SessionRecord*)
{
  return "session";
}
constexpr std::string_view
TypeNameOf(const SettledRecord*)
{
  return "settled";
}
constexpr std::string_view
TypeNameOf(const ClaimRecord*)
{
  return "claim";
}
constexpr std::string_view
TypeNameOf(const OrderRecord*)
{
  return "order";
}
constexpr std::string_view
TypeNameOf(const TopUpRecord*)
{
  return "topup";
}
constexpr std::string_view
TypeNameOf(const OperatorRecord*)
{
  return "operator";
}
constexpr std::string_view
TypeNameOf(const DeploymentRecord*)
{
  return "deployment";
}
constexpr std::string_view
TypeNameOf(const RetiredRecord*)
{
  return "retired";
}

constexpr auto
FieldsOf(const Account*)
{
  return model::MakeFields(model::Field{ "topped_up", &Account::toppedUp_ },
                           model::Field{ "billed", &Account::billed_ },
                           model::Field{ "granted", &Account::granted_ },
                           model::Field{ "held", &Account::held_ },
                           model::Field{ "version", &Account::version_ },
                           model::Field{ "declared", &Account::declared_ });
}
constexpr auto
FieldsOf(const GrantShare*)
{
  return model::MakeFields(model::Field{ "holder", &GrantShare::holder_ },
                           model::Field{ "amount", &GrantShare::amount_ });
}
constexpr auto
FieldsOf(const RouterRecord*)
{
  return model::MakeFields(
    model::Field{ "incarnation", &RouterRecord::incarnation_ },
    model::Field{ "vm", &RouterRecord::vm_ },
    model::Field{ "failure_domain", &RouterRecord::failureDomain_ },
    model::Field{ "region", &RouterRecord::region_ },
    model::Field{ "address", &RouterRecord::address_ },
    model::Field{ "peer_address", &RouterRecord::peerAddress_ },
    model::Field{ "nonce", &RouterRecord::nonce_ },
    model::Field{ "state", &RouterRecord::state_ },
    model::Field{ "awaiting", &RouterRecord::awaiting_ },
    model::Field{ "copies_lost", &RouterRecord::copiesLost_ },
    model::Field{ "copies_lost_revision", &RouterRecord::copiesLostRevision_ },
    model::Field{ "applied_revision", &RouterRecord::appliedRevision_ },
    model::Field{ "settled_before_ms", &RouterRecord::settledBeforeMs_ },
    model::Field{ "last_seen_ms", &RouterRecord::lastSeenMs_ },
    model::Field{ "reports_late", &RouterRecord::reportsLate_ },
    model::Field{ "revision", &RouterRecord::revision_ });
}
constexpr auto
FieldsOf(const DeploymentRecord*)
{
  return model::MakeFields(
    model::Field{ "version", &DeploymentRecord::version_ },
    model::Field{ "document", &DeploymentRecord::document_ },
    model::Field{ "revision", &DeploymentRecord::revision_ });
}
constexpr auto
FieldsOf(const RetiredRecord*)
{
  return model::MakeFields(
    model::Field{ "endpoint", &RetiredRecord::endpoint_ },
    model::Field{ "incarnation", &RetiredRecord::incarnation_ },
    model::Field{ "revision", &RetiredRecord::revision_ },
    model::Field{ "at_ms", &RetiredRecord::atMs_ });
}
constexpr auto
FieldsOf(const ConfigDelta*)
{
  return model::MakeFields(
    model::Field{ "revision", &ConfigDelta::revision_ },
    model::Field{ "time_ms", &ConfigDelta::timeMs_ },
    model::Field{ "resources", &ConfigDelta::resources_ },
    model::Field{ "routers_changed", &ConfigDelta::routersChanged_ },
    model::Field{ "routers", &ConfigDelta::routers_ },
    model::Field{ "known_routers", &ConfigDelta::knownRouters_ },
    model::Field{ "deployment", &ConfigDelta::deployment_ },
    model::Field{ "retired", &ConfigDelta::retired_ });
}
constexpr auto
FieldsOf(const ClaimRecord*)
{
  return model::MakeFields(
    model::Field{ "workspace", &ClaimRecord::workspace_ },
    model::Field{ "key", &ClaimRecord::key_ },
    model::Field{ "fingerprint", &ClaimRecord::fingerprint_ },
    model::Field{ "holder", &ClaimRecord::holder_ },
    model::Field{ "state", &ClaimRecord::state_ },
    model::Field{ "http_status", &ClaimRecord::httpStatus_ },
    model::Field{ "body", &ClaimRecord::body_ },
    model::Field{ "at_ms", &ClaimRecord::atMs_ });
}
constexpr auto
FieldsOf(const OrderRecord*)
{
  return model::MakeFields(model::Field{ "endpoint", &OrderRecord::endpoint_ },
                           model::Field{ "fence", &OrderRecord::fence_ },
                           model::Field{ "holder", &OrderRecord::holder_ },
                           model::Field{ "state", &OrderRecord::state_ },
                           model::Field{ "at_ms", &OrderRecord::atMs_ });
}
constexpr auto
FieldsOf(const TopUpRecord*)
{
  return model::MakeFields(model::Field{ "id", &TopUpRecord::id_ },
                           model::Field{ "budget", &TopUpRecord::budget_ },
                           model::Field{ "amount", &TopUpRecord::amount_ },
                           model::Field{ "at_ms", &TopUpRecord::atMs_ });
}
constexpr auto
FieldsOf(const OperatorRecord*)
{
  return model::MakeFields(
    model::Field{ "request_id", &OperatorRecord::requestId_ },
    model::Field{ "reply", &OperatorRecord::reply_ },
    model::Field{ "at_ms", &OperatorRecord::atMs_ });
}
constexpr auto
FieldsOf(const SessionRecord*)
{
  return model::MakeFields(
    model::Field{ "incarnation", &SessionRecord::incarnation_ },
    model::Field{ "sequence", &SessionRecord::sequence_ },
    model::Field{ "reply", &SessionRecord::reply_ });
}
constexpr auto
FieldsOf(const AccountRecord*)
{
  return model::MakeFields(model::Field{ "budget", &AccountRecord::budget_ },
                           model::Field{ "account", &AccountRecord::account_ },
                           model::Field{ "grants", &AccountRecord::grants_ });
}
constexpr auto
FieldsOf(const SettledRecord*)
{
  return model::MakeFields(model::Field{ "high", &SettledRecord::high_ },
                           model::Field{ "low", &SettledRecord::low_ },
                           model::Field{ "holder", &SettledRecord::holder_ },
                           model::Field{ "number", &SettledRecord::number_ },
                           model::Field{ "amount", &SettledRecord::amount_ },
                           model::Field{ "at_ms", &SettledRecord::atMs_ });
}
constexpr auto
FieldsOf(const CountersRecord*)
{
  return model::MakeFields(
    model::Field{ "revision", &CountersRecord::revision_ },
    model::Field{ "routers_revision", &CountersRecord::routersRevision_ },
    model::Field{ "forgotten_revision", &CountersRecord::lastRemovalRevision_ },
    model::Field{ "last_incarnation", &CountersRecord::lastIncarnation_ },
    model::Field{ "time_ms", &CountersRecord::timeMs_ },
    model::Field{ "forgotten_through_ms", &CountersRecord::evictedThroughMs_ });
}

} // namespace cactuswick::ledger

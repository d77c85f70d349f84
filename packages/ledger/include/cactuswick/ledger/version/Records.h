#pragma once

#include <string>
#include <variant>
#include <vector>

#include "cactuswick/ledger/version/Command.h"
#include "cactuswick/model/version/StreamOrigin.h"

/// State of the ledger, which is also the record format of its snapshots.
namespace cactuswick::ledger {

/// One prepaid budget. Invariant: toppedUp_ >= billed_ + granted_ + held_,
/// except for a declared budget that was lowered below the sum of the three.
struct Account
{
  Tokens toppedUp_ = 0;
  Tokens billed_ = 0;
  /// In router grants, neither billed nor returned yet.
  Tokens granted_ = 0;
  /// Withheld because their use is unknown; neither billed nor granted again.
  /// Negative while a dead router's usage of a loan is reported and the loan
  /// itself is not.
  Tokens held_ = 0;
  int64_t version_ = 0;
  /// The total comes from a deployment and may be lowered.
  bool declared_ = false;
  /// Until this log time the last @c keptMost_ tokens are granted only to
  /// streams that are taken up again.
  LogTimeMs keptUntilMs_ = 0;
  Tokens keptMost_ = 0;

  Tokens Available() const { return toppedUp_ - billed_ - granted_ - held_; }
  bool operator==(const Account&) const = default;
};

/// The tokens of a budget granted to one router.
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
  /// Dead; its grants are kept until no other router can hold copies of its
  /// settlements.
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
  /// For a dead router: incarnations that may still hold copies of its
  /// settlements.
  std::vector<Incarnation> awaiting_;
  /// A router that may have held copies has died: if this one dies, its grants
  /// are held.
  bool copiesLost_ = false;
  /// Resets copiesLost_ when the live router has applied this revision and
  /// reports no remote copies.
  int64_t copiesLostRevision_ = 0;
  int64_t appliedRevision_ = 0;
  LogTimeMs settledBeforeMs_ = 0;
  LogTimeMs lastSeenMs_ = 0;
  bool reportsLate_ = false;
  /// Revision of the last change that routers must receive.
  int64_t revision_ = 0;

  bool operator==(const RouterRecord&) const = default;
};

/// The active declared deployment.
struct DeploymentRecord
{
  int64_t version_ = 0;
  /// Compressed.
  model::Blob document_;
  int64_t revision_ = 0;

  bool operator==(const DeploymentRecord&) const = default;
};

/// An incarnation of an endpoint that is leaving and gets no new requests.
struct RetiredRecord
{
  std::string endpoint_;
  int64_t incarnation_ = 0;
  int64_t revision_ = 0;
  LogTimeMs atMs_ = 0;

  bool operator==(const RetiredRecord&) const = default;
};

/// A prompt part that crashes endpoints.
struct QuarantineRecord
{
  std::string part_;
  int64_t crashes_ = 0;
  LogTimeMs sinceMs_ = 0;
  /// From this log time on, one request may be sent as a probe.
  LogTimeMs nextProbeMs_ = 0;
  /// Time between two probes; grows with each.
  LogTimeMs probeIntervalMs_ = 0;
  int64_t probes_ = 0;

  bool operator==(const QuarantineRecord&) const = default;
};

/// A failure domain whose endpoints get no new requests.
struct EvacuationRecord
{
  std::string failureDomain_;
  LogTimeMs sinceMs_ = 0;

  bool operator==(const EvacuationRecord&) const = default;
};

/// Configuration changes since a revision.
struct ConfigDelta
{
  int64_t revision_ = 0;
  LogTimeMs timeMs_ = 0;
  std::vector<model::Resource> resources_;
  bool routersChanged_ = false;
  /// New or changed routers.
  std::vector<RouterRecord> routers_;
  /// All current routers, set only if one was removed: those missing here are
  /// gone.
  std::optional<std::vector<Incarnation>> knownRouters_;
  /// Set only if the deployment changed.
  std::optional<DeploymentRecord> deployment_;
  std::vector<RetiredRecord> retired_;
  /// All quarantined prompt parts; set only if one was added, probed or lifted.
  std::optional<std::vector<QuarantineRecord>> quarantine_;
  /// All evacuated failure domains; set only if one was added or removed.
  std::optional<std::vector<EvacuationRecord>> evacuations_;
  /// The admitted software versions of all services; set only if one was
  /// admitted or withdrawn.
  std::optional<std::vector<model::ServiceVersions>> versions_;

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

/// The newest order begun at an endpoint.
struct OrderRecord
{
  std::string endpoint_;
  int64_t fence_ = 0;
  Incarnation holder_ = 0;
  OrderState state_ = OrderState::kRunning;
  LogTimeMs atMs_ = 0;

  bool operator==(const OrderRecord&) const = default;
};

/// An applied top-up, kept to deduplicate resends.
struct TopUpRecord
{
  std::string id_;
  std::string budget_;
  Tokens amount_ = 0;
  LogTimeMs atMs_ = 0;

  bool operator==(const TopUpRecord&) const = default;
};

/// The reply to an operator's request, kept for resends.
struct OperatorRecord
{
  std::string requestId_;
  Reply reply_;
  LogTimeMs atMs_ = 0;

  bool operator==(const OperatorRecord&) const = default;
};

/// The reply to the last batch of a router, kept for resends.
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

/// A billed key: its 128-bit hash, first settlement, total amount and time.
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
  /// Revision at which a router was last removed.
  int64_t lastRemovalRevision_ = 0;
  Incarnation lastIncarnation_ = 0;
  LogTimeMs timeMs_ = 0;
  LogTimeMs evictedThroughMs_ = -1;
  /// Revision of the last change of the quarantined parts.
  int64_t quarantineRevision_ = 0;
  /// Revision of the last start or end of an evacuation.
  int64_t evacuationRevision_ = 0;
  /// Revision of the last change of the admitted software versions.
  int64_t versionsRevision_ = 0;

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
                                    RetiredRecord,
                                    QuarantineRecord,
                                    EvacuationRecord,
                                    model::ServiceVersions>;

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

constexpr std::string_view
TypeNameOf(const QuarantineRecord*)
{
  return "quarantined";
}
constexpr std::string_view
TypeNameOf(const EvacuationRecord*)
{
  return "evacuation";
}

constexpr auto
FieldsOf(const Account*)
{
  return model::MakeFields(
    model::Field{ "topped_up", &Account::toppedUp_ },
    model::Field{ "billed", &Account::billed_ },
    model::Field{ "granted", &Account::granted_ },
    model::Field{ "held", &Account::held_ },
    model::Field{ "version", &Account::version_ },
    model::Field{ "declared", &Account::declared_ },
    model::Field{ "kept_until_ms", &Account::keptUntilMs_ },
    model::Field{ "kept_most", &Account::keptMost_ });
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
FieldsOf(const QuarantineRecord*)
{
  return model::MakeFields(
    model::Field{ "part", &QuarantineRecord::part_ },
    model::Field{ "crashes", &QuarantineRecord::crashes_ },
    model::Field{ "since_ms", &QuarantineRecord::sinceMs_ },
    model::Field{ "next_probe_ms", &QuarantineRecord::nextProbeMs_ },
    model::Field{ "probe_interval_ms", &QuarantineRecord::probeIntervalMs_ },
    model::Field{ "probes", &QuarantineRecord::probes_ });
}
constexpr auto
FieldsOf(const EvacuationRecord*)
{
  return model::MakeFields(
    model::Field{ "failure_domain", &EvacuationRecord::failureDomain_ },
    model::Field{ "since_ms", &EvacuationRecord::sinceMs_ });
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
    model::Field{ "retired", &ConfigDelta::retired_ },
    model::Field{ "quarantine", &ConfigDelta::quarantine_ },
    model::Field{ "evacuations", &ConfigDelta::evacuations_ },
    model::Field{ "versions", &ConfigDelta::versions_ });
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
    model::Field{ "forgotten_through_ms", &CountersRecord::evictedThroughMs_ },
    model::Field{ "quarantine_revision", &CountersRecord::quarantineRevision_ },
    model::Field{ "evacuation_revision", &CountersRecord::evacuationRevision_ },
    model::Field{ "versions_revision", &CountersRecord::versionsRevision_ });
}

} // namespace cactuswick::ledger

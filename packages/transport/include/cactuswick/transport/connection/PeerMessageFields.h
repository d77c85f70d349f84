#pragma once

#include <array>

#include "cactuswick/transport/connection/PeerMessage.h"

/// Wire names of the messages between processes.
namespace cactuswick::transport {

constexpr std::array<std::string_view, 4>
EnumNames(const QueryType*)
{
  return { "resource", "resources", "status", "deployment" };
}

constexpr std::string_view
TypeNameOf(const KeepAlive*)
{
  return "keepalive";
}

constexpr auto
FieldsOf(const KeepAlive*)
{
  return model::MakeFields(model::Field{ "sent_ms", &KeepAlive::sentMs_ },
                           model::Field{ "echo_ms", &KeepAlive::echoMs_ });
}

constexpr std::string_view
TypeNameOf(const RaftEnvelope*)
{
  return "raft";
}

constexpr auto
FieldsOf(const RaftEnvelope*)
{
  return model::MakeFields(model::Field{ "to", &RaftEnvelope::to_ },
                           model::Field{ "message", &RaftEnvelope::message_ });
}

constexpr std::string_view
TypeNameOf(const ProposeRequest*)
{
  return "propose";
}

constexpr auto
FieldsOf(const ProposeRequest*)
{
  return model::MakeFields(
    model::Field{ "call", &ProposeRequest::call_ },
    model::Field{ "command", &ProposeRequest::command_ });
}

constexpr std::string_view
TypeNameOf(const ProposeReply*)
{
  return "proposed";
}

constexpr auto
FieldsOf(const ProposeReply*)
{
  return model::MakeFields(model::Field{ "call", &ProposeReply::call_ },
                           model::Field{ "reply", &ProposeReply::reply_ });
}

constexpr std::string_view
TypeNameOf(const Redirect*)
{
  return "redirect";
}

constexpr auto
FieldsOf(const Redirect*)
{
  return model::MakeFields(model::Field{ "call", &Redirect::call_ },
                           model::Field{ "leader", &Redirect::leader_ });
}

constexpr std::string_view
TypeNameOf(const MembersRequest*)
{
  return "members";
}

constexpr auto
FieldsOf(const MembersRequest*)
{
  return model::MakeFields(model::Field{ "call", &MembersRequest::call_ },
                           model::Field{ "remove", &MembersRequest::remove_ },
                           model::Field{ "member", &MembersRequest::member_ });
}

constexpr std::string_view
TypeNameOf(const QueryRequest*)
{
  return "query";
}

constexpr auto
FieldsOf(const QueryRequest*)
{
  return model::MakeFields(model::Field{ "call", &QueryRequest::call_ },
                           model::Field{ "query", &QueryRequest::query_ },
                           model::Field{ "key", &QueryRequest::key_ });
}

constexpr std::string_view
TypeNameOf(const QueryReply*)
{
  return "answer";
}

constexpr auto
FieldsOf(const QueryReply*)
{
  return model::MakeFields(
    model::Field{ "call", &QueryReply::call_ },
    model::Field{ "revision", &QueryReply::revision_ },
    model::Field{ "resources", &QueryReply::resources_ },
    model::Field{ "accounts", &QueryReply::accounts_ },
    model::Field{ "status", &QueryReply::status_ },
    model::Field{ "deployment", &QueryReply::deployment_ });
}

constexpr std::string_view
TypeNameOf(const Subscribe*)
{
  return "subscribe";
}

constexpr auto
FieldsOf(const Subscribe*)
{
  return model::MakeFields(
    model::Field{ "incarnation", &Subscribe::incarnation_ },
    model::Field{ "revision", &Subscribe::revision_ });
}

constexpr std::string_view
TypeNameOf(const ConfigPush*)
{
  return "config";
}

constexpr auto
FieldsOf(const ConfigPush*)
{
  return model::MakeFields(model::Field{ "delta", &ConfigPush::delta_ });
}

constexpr std::string_view
TypeNameOf(const RecallGrant*)
{
  return "recall";
}

constexpr auto
FieldsOf(const RecallGrant*)
{
  return model::MakeFields(model::Field{ "budget", &RecallGrant::budget_ });
}

constexpr std::string_view
TypeNameOf(const JoinRequest*)
{
  return "join";
}

constexpr auto
FieldsOf(const JoinRequest*)
{
  return model::MakeFields(model::Field{ "member", &JoinRequest::member_ },
                           model::Field{ "relayed", &JoinRequest::relayed_ });
}

constexpr std::string_view
TypeNameOf(const CopySettlements*)
{
  return "copies";
}

constexpr auto
FieldsOf(const CopySettlements*)
{
  return model::MakeFields(
    model::Field{ "holder", &CopySettlements::holder_ },
    model::Field{ "settlements", &CopySettlements::settlements_ });
}

constexpr std::string_view
TypeNameOf(const CopiesStored*)
{
  return "stored";
}

constexpr auto
FieldsOf(const CopiesStored*)
{
  return model::MakeFields(model::Field{ "keeper", &CopiesStored::backup_ },
                           model::Field{ "numbers", &CopiesStored::numbers_ });
}

constexpr std::string_view
TypeNameOf(const DropCopies*)
{
  return "drop";
}

constexpr auto
FieldsOf(const DropCopies*)
{
  return model::MakeFields(model::Field{ "holder", &DropCopies::holder_ },
                           model::Field{ "through", &DropCopies::through_ });
}

constexpr std::string_view
TypeNameOf(const Gossip*)
{
  return "gossip";
}

constexpr auto
FieldsOf(const Gossip*)
{
  return model::MakeFields(model::Field{ "from", &Gossip::from_ },
                           model::Field{ "load", &Gossip::load_ },
                           model::Field{ "endpoints", &Gossip::endpoints_ },
                           model::Field{ "lost", &Gossip::lost_ },
                           model::Field{ "prefill", &Gossip::prefill_ },
                           model::Field{ "streams", &Gossip::streams_ });
}

constexpr auto
FieldsOf(const StreamGossip*)
{
  return model::MakeFields(model::Field{ "began", &StreamGossip::began_ },
                           model::Field{ "sought", &StreamGossip::sought_ },
                           model::Field{ "unknown", &StreamGossip::unknown_ });
}

constexpr auto
FieldsOf(const EndpointLost*)
{
  return model::MakeFields(
    model::Field{ "endpoint", &EndpointLost::endpoint_ },
    model::Field{ "incarnation", &EndpointLost::incarnation_ });
}

constexpr std::string_view
TypeNameOf(const RouterLiveness*)
{
  return "router_liveness";
}

constexpr auto
FieldsOf(const RouterLiveness*)
{
  return model::MakeFields(
    model::Field{ "connected", &RouterLiveness::connected_ });
}

constexpr std::string_view
TypeNameOf(const LendRequest*)
{
  return "lend";
}

constexpr auto
FieldsOf(const LendRequest*)
{
  return model::MakeFields(model::Field{ "call", &LendRequest::call_ },
                           model::Field{ "borrower", &LendRequest::borrower_ },
                           model::Field{ "budget", &LendRequest::budget_ },
                           model::Field{ "want", &LendRequest::want_ },
                           model::Field{ "minimum", &LendRequest::minimum_ });
}

constexpr std::string_view
TypeNameOf(const LendReply*)
{
  return "lent";
}

constexpr auto
FieldsOf(const LendReply*)
{
  return model::MakeFields(model::Field{ "call", &LendReply::call_ },
                           model::Field{ "budget", &LendReply::budget_ },
                           model::Field{ "amount", &LendReply::amount_ });
}

constexpr std::string_view
TypeNameOf(const ControlMembers*)
{
  return "control_members";
}

constexpr auto
FieldsOf(const ControlMembers*)
{
  return model::MakeFields(
    model::Field{ "addresses", &ControlMembers::addresses_ });
}

constexpr auto
FieldsOf(const MemberStatus*)
{
  return model::MakeFields(model::Field{ "member", &MemberStatus::member_ },
                           model::Field{ "match", &MemberStatus::match_ });
}

constexpr auto
FieldsOf(const ControlStatus*)
{
  return model::MakeFields(
    model::Field{ "leader", &ControlStatus::leader_ },
    model::Field{ "term", &ControlStatus::term_ },
    model::Field{ "commit", &ControlStatus::commit_ },
    model::Field{ "log_base", &ControlStatus::logBase_ },
    model::Field{ "revision", &ControlStatus::revision_ },
    model::Field{ "budgets", &ControlStatus::budgets_ },
    model::Field{ "settled_keys", &ControlStatus::settledKeys_ },
    model::Field{ "claims", &ControlStatus::claims_ },
    model::Field{ "members", &ControlStatus::members_ },
    model::Field{ "waiting", &ControlStatus::waiting_ },
    model::Field{ "routers", &ControlStatus::routers_ },
    model::Field{ "orders", &ControlStatus::orders_ },
    model::Field{ "quarantine", &ControlStatus::quarantine_ },
    model::Field{ "evacuations", &ControlStatus::evacuations_ });
}

constexpr std::string_view
TypeNameOf(const CrashEvidence*)
{
  return "crash_evidence";
}

constexpr auto
FieldsOf(const CrashEvidence*)
{
  return model::MakeFields(
    model::Field{ "reports", &CrashEvidence::reports_ },
    model::Field{ "answered", &CrashEvidence::answered_ },
    model::Field{ "alive", &CrashEvidence::alive_ });
}

constexpr std::string_view
TypeNameOf(const WatchParts*)
{
  return "watch_parts";
}

constexpr auto
FieldsOf(const WatchParts*)
{
  return model::MakeFields(model::Field{ "parts", &WatchParts::parts_ });
}

constexpr auto
FieldsOf(const RelayedAnnouncement*)
{
  return model::MakeFields(
    model::Field{ "announcement", &RelayedAnnouncement::announcement_ },
    model::Field{ "age_ms", &RelayedAnnouncement::ageMs_ });
}

} // namespace cactuswick::transport

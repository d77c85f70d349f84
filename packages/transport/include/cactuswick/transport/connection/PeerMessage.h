#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "cactuswick/ledger/version/RaftMessage.h"
#include "cactuswick/ledger/version/Records.h"
#include "cactuswick/model/version/Announcement.h"

/// Messages between the system's own processes.
namespace cactuswick::transport {

/// Matches an answer to its question on one link.
using CallId = int64_t;

/// Sent when a link would otherwise be silent.
struct KeepAlive
{
  bool operator==(const KeepAlive&) const = default;
};

/// A message of the replicated log; dropped unless @c to_ is the receiver.
struct RaftEnvelope
{
  std::string to_;
  ledger::RaftMessage message_;

  bool operator==(const RaftEnvelope&) const = default;
};

/// Asks the leader to commit a command.
struct ProposeRequest
{
  CallId call_ = 0;
  ledger::Command command_;

  bool operator==(const ProposeRequest&) const = default;
};

/// Answer to ProposeRequest and MembersRequest, after the commit.
struct ProposeReply
{
  CallId call_ = 0;
  ledger::Reply reply_;

  bool operator==(const ProposeReply&) const = default;
};

/// Answer of a replica that cannot serve: ask at @c leader_, if known.
struct Redirect
{
  CallId call_ = 0;
  /// Peer address of the leader, or empty.
  std::string leader_;

  bool operator==(const Redirect&) const = default;
};

/// Adds or removes a replica of the control log.
struct MembersRequest
{
  CallId call_ = 0;
  bool remove_ = false;
  ledger::Member member_;

  bool operator==(const MembersRequest&) const = default;
};

/// What a query asks for.
enum class QueryType
{
  /// One resource by "type/name".
  kResource,
  /// All resources of a type whose names start with a prefix.
  kResources,
  /// The state of the control log and the routers.
  kStatus,
  /// The declared deployment.
  kDeployment,
};

/// Reads committed state through a quorum.
struct QueryRequest
{
  CallId call_ = 0;
  QueryType query_ = QueryType::kStatus;
  std::string key_;

  bool operator==(const QueryRequest&) const = default;
};

/// A member and how far its log is.
struct MemberStatus
{
  ledger::Member member_;
  ledger::Index match_ = 0;

  bool operator==(const MemberStatus&) const = default;
};

/// The state of the control log as its leader sees it.
struct ControlStatus
{
  std::string leader_;
  ledger::Term term_ = 0;
  ledger::Index commit_ = 0;
  ledger::Index logBase_ = 0;
  int64_t revision_ = 0;
  int64_t budgets_ = 0;
  int64_t settledKeys_ = 0;
  int64_t claims_ = 0;
  std::vector<MemberStatus> members_;
  /// Replicas with a data folder that are no members.
  std::vector<ledger::Member> waiting_;
  std::vector<ledger::RouterRecord> routers_;
  std::vector<ledger::OrderRecord> orders_;

  bool operator==(const ControlStatus&) const = default;
};

/// Answer to QueryRequest.
struct QueryReply
{
  CallId call_ = 0;
  int64_t revision_ = 0;
  std::vector<model::Resource> resources_;
  std::vector<ledger::AccountRecord> accounts_;
  std::optional<ControlStatus> status_;
  std::optional<ledger::DeploymentRecord> deployment_;

  bool operator==(const QueryReply&) const = default;
};

/// Asks the leader for configuration, now and whenever it changes.
struct Subscribe
{
  ledger::Incarnation incarnation_ = 0;
  int64_t revision_ = 0;

  bool operator==(const Subscribe&) const = default;
};

/// Configuration for a subscriber.
struct ConfigPush
{
  ledger::ConfigDelta delta_;

  bool operator==(const ConfigPush&) const = default;
};

/// Asks a router to return what it does not need of a budget.
struct RecallGrant
{
  std::string budget_;

  bool operator==(const RecallGrant&) const = default;
};

/// Says that a replica has a data folder and is no member.
struct JoinRequest
{
  ledger::Member member_;
  /// Passed on by a replica that is not the leader; goes no further.
  bool relayed_ = false;

  bool operator==(const JoinRequest&) const = default;
};

/// Settlements for safekeeping while control is unreachable.
struct CopySettlements
{
  ledger::Incarnation holder_ = 0;
  std::vector<ledger::Settle> settlements_;

  bool operator==(const CopySettlements&) const = default;
};

/// Says that copies of these settlement numbers are kept.
struct CopiesStored
{
  ledger::Incarnation backup_ = 0;
  std::vector<int64_t> numbers_;

  bool operator==(const CopiesStored&) const = default;
};

/// Says that the holder has handed in every settlement up to a number.
struct DropCopies
{
  ledger::Incarnation holder_ = 0;
  int64_t through_ = 0;

  bool operator==(const DropCopies&) const = default;
};

/// An endpoint's announcement as it spreads among routers.
struct RelayedAnnouncement
{
  model::Announcement announcement_;
  /// Milliseconds since the endpoint was heard.
  int64_t ageMs_ = 0;

  bool operator==(const RelayedAnnouncement&) const = default;
};

/// An incarnation of an endpoint that was not heard for its lease.
struct EndpointLost
{
  std::string endpoint_;
  int64_t incarnation_ = 0;

  bool operator==(const EndpointLost&) const = default;
};

/// Soft state of routers for each other, and of control for routers.
struct Gossip
{
  ledger::Incarnation from_ = 0;
  /// Requests that the sender has in flight or queued.
  int64_t load_ = 0;
  std::vector<RelayedAnnouncement> endpoints_;
  std::vector<EndpointLost> lost_;

  bool operator==(const Gossip&) const = default;
};

/// The leader's word on which routers are connected to it.
struct RouterLiveness
{
  std::vector<ledger::Incarnation> connected_;

  bool operator==(const RouterLiveness&) const = default;
};

/// Peer addresses of the control replicas, for routers to remember.
struct ControlMembers
{
  std::vector<std::string> addresses_;

  bool operator==(const ControlMembers&) const = default;
};

/// Asks another router for a part of its grant, while control is unreachable.
struct LendRequest
{
  CallId call_ = 0;
  ledger::Incarnation borrower_ = 0;
  std::string budget_;
  ledger::Tokens want_ = 0;
  ledger::Tokens minimum_ = 0;

  bool operator==(const LendRequest&) const = default;
};

/// Answer to LendRequest; 0 when the lender cannot spare the minimum.
struct LendReply
{
  CallId call_ = 0;
  std::string budget_;
  ledger::Tokens amount_ = 0;

  bool operator==(const LendReply&) const = default;
};

using PeerMessage = std::variant<KeepAlive,
                                 RaftEnvelope,
                                 ProposeRequest,
                                 ProposeReply,
                                 Redirect,
                                 MembersRequest,
                                 QueryRequest,
                                 QueryReply,
                                 Subscribe,
                                 ConfigPush,
                                 RecallGrant,
                                 JoinRequest,
                                 CopySettlements,
                                 CopiesStored,
                                 DropCopies,
                                 Gossip,
                                 RouterLiveness,
                                 ControlMembers,
                                 LendRequest,
                                 LendReply>;

} // namespace cactuswick::transport

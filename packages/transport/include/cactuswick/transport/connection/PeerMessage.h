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
#include "cactuswick/model/version/CrashReport.h"
#include "cactuswick/model/version/PendingPrefill.h"
#include "cactuswick/model/version/StreamOrigin.h"

/// Messages between the processes of the fleet.
namespace cactuswick::transport {

/// Matches a reply to its request on one link.
using CallId = int64_t;

/// Sent at intervals by the side that connected, and answered at once; by the
/// other side also when nothing else was sent within the interval. Earlier
/// releases ignore the fields.
struct KeepAlive
{
  /// Time on the sender's clock, to be returned in echoMs_.
  std::optional<int64_t> sentMs_;
  /// The sentMs_ that is answered.
  std::optional<int64_t> echoMs_;

  bool operator==(const KeepAlive&) const = default;
};

/// A Raft message; the receiver drops it unless @c to_ is its own id.
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

/// Reply to ProposeRequest and MembersRequest, sent after the commit.
struct ProposeReply
{
  CallId call_ = 0;
  ledger::Reply reply_;

  bool operator==(const ProposeReply&) const = default;
};

/// Reply of a replica that can't serve a request; the sender retries it at
/// @c leader_, if known.
struct Redirect
{
  CallId call_ = 0;
  /// Peer address of the leader; empty if unknown.
  std::string leader_;

  bool operator==(const Redirect&) const = default;
};

/// Asks the leader to add or remove a replica of the control log.
struct MembersRequest
{
  CallId call_ = 0;
  bool remove_ = false;
  ledger::Member member_;

  bool operator==(const MembersRequest&) const = default;
};

/// Subject of a query.
enum class QueryType
{
  /// One resource, named by "type/name".
  kResource,
  /// All resources of a type whose names start with a prefix.
  kResources,
  /// The state of the control log and the routers.
  kStatus,
  /// The declared deployment.
  kDeployment,
};

/// Asks the leader for committed state; it confirms its leadership with a
/// quorum before it replies.
struct QueryRequest
{
  CallId call_ = 0;
  QueryType query_ = QueryType::kStatus;
  std::string key_;

  bool operator==(const QueryRequest&) const = default;
};

/// A member and the last log index it is known to share with the leader.
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
  /// Replicas that have a data folder and are not members yet.
  std::vector<ledger::Member> waiting_;
  std::vector<ledger::RouterRecord> routers_;
  std::vector<ledger::OrderRecord> orders_;
  std::vector<ledger::QuarantineRecord> quarantine_;
  std::vector<ledger::EvacuationRecord> evacuations_;

  bool operator==(const ControlStatus&) const = default;
};

/// Reply to QueryRequest.
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

/// Asks the leader for the configuration, now and whenever it changes.
struct Subscribe
{
  ledger::Incarnation incarnation_ = 0;
  int64_t revision_ = 0;

  bool operator==(const Subscribe&) const = default;
};

/// Configuration changes for a subscriber.
struct ConfigPush
{
  ledger::ConfigDelta delta_;

  bool operator==(const ConfigPush&) const = default;
};

/// Asks a router to return the unused part of its grant from a budget.
struct RecallGrant
{
  std::string budget_;

  bool operator==(const RecallGrant&) const = default;
};

/// Announces a replica that has a data folder and is not a member yet.
struct JoinRequest
{
  ledger::Member member_;
  /// Set by a replica that forwards the request to the leader; a relayed
  /// request is not forwarded again.
  bool relayed_ = false;

  bool operator==(const JoinRequest&) const = default;
};

/// Copies of settlements for a backup router to store while control is
/// unreachable.
struct CopySettlements
{
  ledger::Incarnation holder_ = 0;
  std::vector<ledger::Settle> settlements_;

  bool operator==(const CopySettlements&) const = default;
};

/// Acknowledges that the backup router has stored copies of these settlement
/// numbers.
struct CopiesStored
{
  ledger::Incarnation backup_ = 0;
  std::vector<int64_t> numbers_;

  bool operator==(const CopiesStored&) const = default;
};

/// Tells backup routers that the holder's settlements up to a number are
/// committed, so their copies can be dropped.
struct DropCopies
{
  ledger::Incarnation holder_ = 0;
  int64_t through_ = 0;

  bool operator==(const DropCopies&) const = default;
};

/// An endpoint's announcement as routers and control pass it on.
struct RelayedAnnouncement
{
  model::Announcement announcement_;
  /// Milliseconds since the announcement was received from the endpoint.
  int64_t ageMs_ = 0;

  bool operator==(const RelayedAnnouncement&) const = default;
};

/// An incarnation of an endpoint whose lease expired without a heartbeat.
struct EndpointLost
{
  std::string endpoint_;
  int64_t incarnation_ = 0;

  bool operator==(const EndpointLost&) const = default;
};

/// What routers and control tell each other of the origins of streams.
struct StreamGossip
{
  /// From a router those that began there, between replicas all, and to a
  /// router those that it asked for.
  std::vector<model::StreamGroup> began_;
  /// Streams that a router asks for.
  std::vector<model::StreamKey> sought_;
  /// Streams that a router asked for and the leader does not know.
  std::vector<model::StreamKey> unknown_;

  bool operator==(const StreamGossip&) const = default;
};

/// Soft state exchanged among routers and between routers and control.
struct Gossip
{
  ledger::Incarnation from_ = 0;
  /// Requests that the sender has in flight or queued.
  int64_t load_ = 0;
  std::vector<RelayedAnnouncement> endpoints_;
  std::vector<EndpointLost> lost_;
  /// Prompt tokens that engines have not read: from a router to the leader its
  /// own, from the leader the sum over all routers. A field of this message, as
  /// earlier releases close a link on which a message of a new type arrives.
  std::optional<model::PendingPrefill> prefill_;
  /// Where streams began; a field of this message for the same reason.
  std::optional<StreamGossip> streams_;

  bool operator==(const Gossip&) const = default;
};

/// The routers that the leader reports as connected to it.
struct RouterLiveness
{
  std::vector<ledger::Incarnation> connected_;

  bool operator==(const RouterLiveness&) const = default;
};

/// Peer addresses of the control replicas, which routers store to reconnect.
struct ControlMembers
{
  std::vector<std::string> addresses_;

  bool operator==(const ControlMembers&) const = default;
};

/// Asks another router for a part of its grant while control is unreachable.
struct LendRequest
{
  CallId call_ = 0;
  ledger::Incarnation borrower_ = 0;
  std::string budget_;
  ledger::Tokens want_ = 0;
  ledger::Tokens minimum_ = 0;

  bool operator==(const LendRequest&) const = default;
};

/// Reply to LendRequest; the amount is 0 if the lender can't spare the minimum.
struct LendReply
{
  CallId call_ = 0;
  std::string budget_;
  ledger::Tokens amount_ = 0;

  bool operator==(const LendReply&) const = default;
};

/// What a router knows of crashed endpoints and of the parts of the prompts
/// that were there.
struct CrashEvidence
{
  std::vector<model::CrashReport> reports_;
  /// Watched parts with which an endpoint has responded.
  std::vector<model::AnsweredPart> answered_;
  /// Endpoints that were reported and responded later.
  std::vector<model::EndpointRun> alive_;

  bool operator==(const CrashEvidence&) const = default;
};

/// Lists the prompt parts under suspicion; routers report responses to them.
struct WatchParts
{
  std::vector<std::string> parts_;

  bool operator==(const WatchParts&) const = default;
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
                                 LendReply,
                                 CrashEvidence,
                                 WatchParts>;

} // namespace cactuswick::transport

#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

/// Every setting of the daemon, declared once.
namespace cactuswick::settings {

/// What the text of a setting must look like.
enum class ValueFormat
{
  kInteger,
  /// A number with a fraction, 0 or more.
  kDecimal,
  /// Lower-case letters, digits, '-', '_', '.'.
  kName,
  /// "IPv4:port".
  kAddress,
  /// Addresses separated by commas.
  kAddressList,
  /// "vm@IPv4:port@failure-domain", separated by commas.
  kReplicaList,
  /// Roles separated by commas: router, control.
  kRoleList,
  kSha256,
  kPath,
  /// One of the words in the unit.
  kChoice,
};

/// One setting: where it stands, what it means and what it may be.
template<class T>
struct Setting
{
  std::string_view section_;
  std::string_view key_;
  T default_;
  ValueFormat format_;
  /// Unit of a number, or the words of a choice.
  std::string_view unitOrChoices_;
  std::string_view help_;
  int64_t min_ = 0;
  int64_t max_ = 0;
};

using TextSetting = Setting<std::string_view>;
using IntegerSetting = Setting<int64_t>;

inline constexpr TextSetting kVm{ "process", "vm",
                                  "",        ValueFormat::kName,
                                  "",        "Name of this VM; required." };
inline constexpr TextSetting kFailureDomain{
  "process", "failure_domain",
  "",        ValueFormat::kName,
  "",        "Failure domain of this VM; required."
};
inline constexpr TextSetting kRegion{ "process", "region",
                                      "default", ValueFormat::kName,
                                      "",        "Region of this VM." };
inline constexpr TextSetting kRoles{
  "process", "roles",
  "router",  ValueFormat::kRoleList,
  "",        "Roles of this process: router, control, or both."
};

inline constexpr TextSetting kControlListen{
  "control", "listen",
  "",        ValueFormat::kAddress,
  "",        "Where the other control replicas and the routers connect."
};
inline constexpr TextSetting kControlDataDir{
  "control", "data_dir",
  "",        ValueFormat::kPath,
  "",        "Data folder; must be on a disk that keeps synced files."
};
inline constexpr TextSetting kControlReplicas{
  "control",
  "replicas",
  "",
  ValueFormat::kReplicaList,
  "",
  "Control replicas: all of them at bootstrap, any live ones when joining."
};
inline constexpr TextSetting kControlSeeds{
  "control",
  "seeds",
  "",
  ValueFormat::kAddressList,
  "",
  "Addresses on VMs of control replicas, for founding, joining and automatic "
  "replacement; their hosts are used with the port of listen."
};
inline constexpr TextSetting kControlBootstrap{
  "control",
  "founds",
  "false",
  ValueFormat::kChoice,
  "true false",
  "Whether the whole deployment starts for the first time; the seeds then "
  "found the control log."
};
inline constexpr IntegerSetting kToleratedVms{
  "control",
  "tolerated_vms",
  1,
  ValueFormat::kInteger,
  "VMs",
  "Control VMs that may be lost at once; decides how many replicas vote.",
  0,
  4
};
inline constexpr TextSetting kControlApiListen{
  "control",
  "api_listen",
  "",
  ValueFormat::kAddress,
  "",
  "Where the platform's operators and endpoints call; empty for none."
};
inline constexpr TextSetting kControlEntryListen{
  "control", "entry_listen",
  "",        ValueFormat::kAddress,
  "",        "Where callers ask for addresses of routers; empty for none."
};
inline constexpr IntegerSetting kControlEntryTtlS{
  "control", "entry_ttl_s",
  1,         ValueFormat::kInteger,
  "s",       "How long callers may keep a list of routers' addresses.",
  1,         3'600
};
inline constexpr IntegerSetting kEndpointHeartbeatMs{
  "control", "endpoint_heartbeat_ms",
  1'000,     ValueFormat::kInteger,
  "ms",      "Interval at which endpoints announce themselves to control.",
  10,        600'000
};
inline constexpr TextSetting kControlMetricsListen{
  "control", "metrics_listen",
  "",        ValueFormat::kAddress,
  "",        "Scrape address of the control role; empty for none."
};
inline constexpr IntegerSetting kHeartbeatMs{
  "control", "heartbeat_ms",
  100,       ValueFormat::kInteger,
  "ms",      "Interval between a leader's heartbeats.",
  10,        10'000
};
inline constexpr IntegerSetting kElectionMs{
  "control",
  "election_ms",
  600,
  ValueFormat::kInteger,
  "ms",
  "Shortest silence after which a replica campaigns; the longest is double.",
  50,
  60'000
};
inline constexpr IntegerSetting kSnapshotEntries{
  "control", "snapshot_entries",
  20'000,    ValueFormat::kInteger,
  "entries", "Log entries between snapshots.",
  10,        10'000'000
};
inline constexpr IntegerSetting kKeptEntries{
  "control",
  "kept_entries",
  2'000,
  ValueFormat::kInteger,
  "entries",
  "Log entries kept behind a snapshot for replicas that are a little behind; "
  "one that is further behind gets the snapshot.",
  0,
  10'000'000
};

inline constexpr TextSetting kRouterListen{
  "router", "listen",
  "",       ValueFormat::kAddress,
  "",       "Where callers, endpoints and operators connect."
};
inline constexpr TextSetting kRouterPeerListen{
  "router", "peer_listen",
  "",       ValueFormat::kAddress,
  "",       "Where other routers connect."
};
inline constexpr TextSetting kRouterPeerAdvertise{
  "router",
  "peer_advertise",
  "",
  ValueFormat::kAddress,
  "",
  "Address at which other routers reach peer_listen, where it differs."
};
inline constexpr TextSetting kRouterControl{
  "router", "control",
  "",       ValueFormat::kAddressList,
  "",       "Addresses of the control replicas."
};
inline constexpr IntegerSetting kRouterControlPort{
  "router",
  "control_port",
  0,
  ValueFormat::kInteger,
  "",
  "Port of the control replicas' listeners, where it is not that of control; "
  "0 takes the ports as they stand.",
  0,
  65'535
};
inline constexpr TextSetting kRouterMetricsListen{
  "router", "metrics_listen",
  "",       ValueFormat::kAddress,
  "",       "Scrape address of the router role; empty for none."
};
inline constexpr IntegerSetting kRouterEntryTtlMs{
  "router", "entry_ttl_ms",
  10'000,   ValueFormat::kInteger,
  "ms",     "How long callers may keep an answer to /v1/entry.",
  100,      3'600'000
};
inline constexpr IntegerSetting kDrainMs{
  "router",
  "drain_ms",
  120'000,
  ValueFormat::kInteger,
  "ms",
  "Longest wait for streams in flight when stopping; 0 waits forever.",
  0,
  86'400'000
};
inline constexpr IntegerSetting kQueueLimit{
  "router",
  "queue_limit",
  2'000,
  ValueFormat::kInteger,
  "requests",
  "Most requests queued for one model or service, of one rank and the more "
  "urgent ones.",
  1,
  1'000'000
};
inline constexpr IntegerSetting kEndpointFirstTokenMs{
  "router",
  "endpoint_first_token_ms",
  300,
  ValueFormat::kInteger,
  "ms",
  "Time from dispatch to first token above which fewer requests are sent to "
  "an endpoint; keep it above the engines' own time for a long prompt.",
  10,
  600'000
};
inline constexpr IntegerSetting kMaxBodyBytes{
  "router", "max_body_bytes",        1'048'576, ValueFormat::kInteger,
  "bytes",  "Largest request body.", 1'024,     67'108'864
};
inline constexpr IntegerSetting kMaxAnswerBytes{
  "router",   "max_answer_bytes",
  16'777'216, ValueFormat::kInteger,
  "bytes",    "Largest answer that is held as a whole.",
  1'024,      268'435'456
};
inline constexpr IntegerSetting kMaxInFlight{
  "router",   "max_in_flight",
  4'096,      ValueFormat::kInteger,
  "requests", "Most requests in flight or queued at once.",
  1,          1'000'000
};
inline constexpr IntegerSetting kMaxDescriptors{
  "router",
  "max_descriptors",
  8'192,
  ValueFormat::kInteger,
  "descriptors",
  "Open connections and files beyond which nothing more is accepted; keep it "
  "below the system's limit.",
  32,
  1'000'000
};
inline constexpr IntegerSetting kConnectTimeoutMs{
  "router", "connect_timeout_ms",
  1'000,    ValueFormat::kInteger,
  "ms",     "Longest wait for a connection to an endpoint.",
  10,       60'000
};
inline constexpr IntegerSetting kFirstByteTimeoutMs{
  "router", "first_byte_timeout_ms",
  30'000,   ValueFormat::kInteger,
  "ms",     "Longest wait for an endpoint's first byte.",
  100,      3'600'000
};
inline constexpr IntegerSetting kProgressTimeoutMs{
  "router", "progress_timeout_ms",
  5'000,    ValueFormat::kInteger,
  "ms",     "Longest silence inside an endpoint's answer.",
  100,      3'600'000
};
inline constexpr IntegerSetting kSettleTimeoutMs{
  "router",
  "settle_timeout_ms",
  10'000,
  ValueFormat::kInteger,
  "ms",
  "Longest wait for a settlement to be committed or copied before the caller "
  "is told that the outcome is unknown.",
  100,
  600'000
};

inline constexpr TextSetting kForwardListen{
  "forward",
  "listen",
  "",
  ValueFormat::kAddress,
  "",
  "Where callers send requests that are forwarded by declared routes; empty "
  "for none."
};
inline constexpr TextSetting kForwardReadyListen{
  "forward", "ready_listen",
  "",        ValueFormat::kAddress,
  "",        "Where the platform asks whether the router is ready."
};
inline constexpr IntegerSetting kForwardLeaveMs{
  "forward",
  "leave_ms",
  4'000,
  ValueFormat::kInteger,
  "ms",
  "How long a router that stops still takes requests: as long as callers may "
  "keep an old list.",
  0,
  3'600'000
};
inline constexpr IntegerSetting kForwardGraceS{
  "forward", "grace_s",
  8,         ValueFormat::kInteger,
  "s",       "Time from the signal to stop until the process is killed.",
  1,         3'600
};
inline constexpr TextSetting kForwardRetryRatio{
  "forward", "retry_ratio",
  "0.1",     ValueFormat::kDecimal,
  "",        "Repeated sends allowed per request, over all routers."
};
inline constexpr IntegerSetting kForwardRetrySlack{
  "forward",
  "retry_slack",
  20,
  ValueFormat::kInteger,
  "requests",
  "Repeated sends allowed beyond the ratio in one window, over all routers.",
  0,
  1'000'000
};

inline constexpr TextSetting kOperatorKeySha256{
  "operator",
  "key_sha256",
  "",
  ValueFormat::kSha256,
  "",
  "SHA-256 of the operators' key; empty turns the operators' API off."
};

inline constexpr TextSetting kEndpointKeySha256{
  "endpoint",
  "key_sha256",
  "",
  ValueFormat::kSha256,
  "",
  "SHA-256 of the key that endpoints announce themselves with; empty lets "
  "anyone announce an endpoint."
};

inline constexpr TextSetting kLogLevel{ "log",
                                        "level",
                                        "info",
                                        ValueFormat::kChoice,
                                        "debug info warning error",
                                        "Lowest level that is logged." };
inline constexpr TextSetting kLogFormat{ "log",       "format",
                                         "text",      ValueFormat::kChoice,
                                         "text json", "Form of a log line." };

/// A setting without its type, for checking and printing.
struct AnySetting
{
  std::string_view section_;
  std::string_view key_;
  std::string_view textDefault_;
  int64_t integerDefault_ = 0;
  ValueFormat format_ = ValueFormat::kInteger;
  std::string_view unitOrChoices_;
  std::string_view help_;
  int64_t min_ = 0;
  int64_t max_ = 0;
};

/// All settings, in the order of the sample file.
const std::vector<AnySetting>&
AllSettings();

} // namespace cactuswick::settings

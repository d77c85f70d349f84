#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

/// Settings of the daemon: declarations, parsing and validation.
namespace cactuswick::settings {

/// Format that the text of a setting must have.
enum class ValueFormat
{
  kInteger,
  /// A finite decimal number of 0 or more.
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
  /// One of the words in unitOrChoices_.
  kChoice,
};

/// Declaration of a setting: its key, default, format and help text.
template<class T>
struct Setting
{
  std::string_view section_;
  std::string_view key_;
  T default_;
  ValueFormat format_;
  /// Unit of a number, or the allowed words of a choice.
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
inline constexpr IntegerSetting kMemoryMb{
  "process",
  "memory_mb",
  0,
  ValueFormat::kInteger,
  "MiB",
  "Memory that the process may use; part of it is the budget of connections; 0 "
  "for no budget.",
  0,
  1'000'000
};
inline constexpr IntegerSetting kHeadTimeoutMs{
  "process", "head_timeout_ms",
  10'000,    ValueFormat::kInteger,
  "ms",      "Longest time from the first byte of a request's head to its end.",
  100,       3'600'000
};
inline constexpr IntegerSetting kBodyTimeoutMs{
  "process",
  "body_timeout_ms",
  60'000,
  ValueFormat::kInteger,
  "ms",
  "Longest time from the end of a request's head to the end of its body.",
  100,
  3'600'000
};

inline constexpr TextSetting kControlListen{
  "control", "listen",
  "",        ValueFormat::kAddress,
  "",        "Listen address for the other control replicas and the routers."
};
inline constexpr TextSetting kControlDataDir{
  "control", "data_dir",
  "",        ValueFormat::kPath,
  "",        "Data directory; must be on storage that keeps synced files."
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
  "Addresses on VMs of control replicas, for bootstrap, joining and automatic "
  "replacement; only their hosts are used, with the port of listen."
};
inline constexpr TextSetting kControlBootstrap{
  "control",
  "founds",
  "false",
  ValueFormat::kChoice,
  "true false",
  "Whether the whole deployment starts for the first time; the seeds then "
  "bootstrap the control log."
};
inline constexpr IntegerSetting kToleratedVms{
  "control",
  "tolerated_vms",
  1,
  ValueFormat::kInteger,
  "VMs",
  "Control VMs that may fail at once; determines the number of voters.",
  0,
  4
};
inline constexpr TextSetting kControlApiListen{
  "control",
  "api_listen",
  "",
  ValueFormat::kAddress,
  "",
  "Listen address for the platform's operators and endpoints; empty for none."
};
inline constexpr TextSetting kControlEntryListen{
  "control", "entry_listen",
  "",        ValueFormat::kAddress,
  "",        "Listen address for callers' router look-ups; empty for none."
};
inline constexpr IntegerSetting kControlMaxDescriptors{
  "control",
  "max_descriptors",
  8'192,
  ValueFormat::kInteger,
  "descriptors",
  "Open file descriptors above which no connection is accepted by the HTTP "
  "listeners; keep it below the system's limit.",
  32,
  1'000'000
};
inline constexpr IntegerSetting kControlEntryTtlS{
  "control", "entry_ttl_s",
  1,         ValueFormat::kInteger,
  "s",       "How long callers may cache a list of router addresses.",
  1,         3'600
};
inline constexpr IntegerSetting kEndpointHeartbeatMs{
  "control", "endpoint_heartbeat_ms",
  1'000,     ValueFormat::kInteger,
  "ms",      "Interval between an endpoint's heartbeats to control.",
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
  "control", "election_ms",
  600,       ValueFormat::kInteger,
  "ms",      "Minimum election timeout; the maximum is twice as long.",
  50,        60'000
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
  "Log entries kept before a snapshot for replicas that lag a little; one "
  "that lags further gets the snapshot.",
  0,
  10'000'000
};

inline constexpr TextSetting kRouterListen{
  "router", "listen",
  "",       ValueFormat::kAddress,
  "",       "Listen address for callers, endpoints and operators."
};
inline constexpr TextSetting kRouterPeerListen{
  "router", "peer_listen",
  "",       ValueFormat::kAddress,
  "",       "Listen address for other routers."
};
inline constexpr TextSetting kRouterPeerAdvertise{
  "router", "peer_advertise",
  "",       ValueFormat::kAddress,
  "",       "Address at which other routers reach peer_listen, if it differs."
};
inline constexpr TextSetting kRouterTunnelListen{
  "router",
  "tunnel_listen",
  "",
  ValueFormat::kAddress,
  "",
  "Listen address for routers that cannot reach the endpoints and connect to "
  "them through this one; the port is the same at all routers. Empty for no "
  "such connections."
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
  "Port of the control replicas' listeners, if it differs from the ports in "
  "control; 0 uses those ports.",
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
  "ms",     "How long callers may cache an answer of /v1/entry.",
  100,      3'600'000
};
inline constexpr IntegerSetting kDrainMs{
  "router", "drain_ms",
  120'000,  ValueFormat::kInteger,
  "ms",     "Maximum wait for streams in flight at shutdown; 0 waits forever.",
  0,        86'400'000
};
inline constexpr IntegerSetting kQueueLimit{
  "router",
  "queue_limit",
  2'000,
  ValueFormat::kInteger,
  "requests",
  "Maximum requests queued for one model or service, of one rank and all "
  "more urgent ranks.",
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
  "an endpoint; keep it above the engines' prefill time of a long prompt.",
  10,
  600'000
};
inline constexpr IntegerSetting kMaxBodyBytes{
  "router",  "max_body_bytes",
  1'048'576, ValueFormat::kInteger,
  "bytes",   "Maximum size of a request body.",
  1'024,     67'108'864
};
inline constexpr IntegerSetting kMaxAnswerBytes{
  "router",   "max_answer_bytes",
  16'777'216, ValueFormat::kInteger,
  "bytes",    "Maximum size of an answer that is buffered whole.",
  1'024,      268'435'456
};
inline constexpr IntegerSetting kMaxInFlight{
  "router",   "max_in_flight",
  4'096,      ValueFormat::kInteger,
  "requests", "Maximum requests in flight or queued.",
  1,          1'000'000
};
inline constexpr IntegerSetting kMaxDescriptors{
  "router",
  "max_descriptors",
  8'192,
  ValueFormat::kInteger,
  "descriptors",
  "Open file descriptors above which no connection is accepted; keep it below "
  "the system's limit.",
  32,
  1'000'000
};
inline constexpr IntegerSetting kConnectTimeoutMs{
  "router", "connect_timeout_ms",
  1'000,    ValueFormat::kInteger,
  "ms",     "Timeout for connecting to an endpoint.",
  10,       60'000
};
inline constexpr IntegerSetting kFirstByteTimeoutMs{
  "router", "first_byte_timeout_ms",
  30'000,   ValueFormat::kInteger,
  "ms",     "Timeout for the first byte of an endpoint's answer.",
  100,      3'600'000
};
inline constexpr IntegerSetting kProgressTimeoutMs{
  "router", "progress_timeout_ms",
  5'000,    ValueFormat::kInteger,
  "ms",     "Idle timeout within an endpoint's answer.",
  100,      3'600'000
};
inline constexpr IntegerSetting kSettleTimeoutMs{
  "router",
  "settle_timeout_ms",
  10'000,
  ValueFormat::kInteger,
  "ms",
  "Maximum wait for a settlement to be committed or copied before the caller "
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
  "Listen address for requests that are forwarded by declared routes; empty "
  "for none."
};
inline constexpr TextSetting kForwardReadyListen{
  "forward", "ready_listen",
  "",        ValueFormat::kAddress,
  "",        "Listen address of the router's readiness check."
};
inline constexpr IntegerSetting kForwardLeaveMs{
  "forward",
  "leave_ms",
  4'000,
  ValueFormat::kInteger,
  "ms",
  "How long a router that shuts down still accepts requests: as long as "
  "callers may cache an old list of routers. Late ones must end within the "
  "grace period.",
  0,
  3'600'000
};
inline constexpr TextSetting kForwardGraceS{
  "forward", "grace_s",
  "8",       ValueFormat::kDecimal,
  "s",       "Time from the stop signal until the process is killed."
};
inline constexpr TextSetting kForwardRetryRatio{
  "forward", "retry_ratio",
  "0.1",     ValueFormat::kDecimal,
  "",        "Retries allowed per request, over all routers."
};
inline constexpr TextSetting kForwardRetrySlack{
  "forward", "retry_slack",
  "20",      ValueFormat::kDecimal,
  "",        "Retries allowed beyond the ratio in one window, over all routers."
};

inline constexpr IntegerSetting kForwardPrefillIntervalMs{
  "forward",
  "prefill_interval_ms",
  250,
  ValueFormat::kInteger,
  "ms",
  "Interval at which the leader tells routers what all of them placed at model "
  "engines and these have not read yet; longer in large fleets. Routers place "
  "prompts by it. 0 turns this off.",
  0,
  10'000
};

inline constexpr IntegerSetting kQuarantineCrashes{
  "quarantine",
  "crashes",
  3,
  ValueFormat::kInteger,
  "crashes",
  "Crashes of endpoints, by different requests with the same prompt part, "
  "after which requests with the part are refused; 0 turns this off.",
  0,
  1'000
};
inline constexpr IntegerSetting kQuarantineWindowS{
  "quarantine",
  "window_s",
  600,
  ValueFormat::kInteger,
  "s",
  "How long a crash counts against the parts of a prompt.",
  1,
  86'400
};
inline constexpr IntegerSetting kQuarantineProbeS{
  "quarantine",
  "probe_s",
  30,
  ValueFormat::kInteger,
  "s",
  "Time until one request with a refused prompt part is tried; four times as "
  "long after each failed try.",
  1,
  3'600
};

inline constexpr TextSetting kOperatorKeySha256{
  "operator",
  "key_sha256",
  "",
  ValueFormat::kSha256,
  "",
  "SHA-256 of the operators' key; empty disables the operators' API."
};

inline constexpr TextSetting kEndpointKeySha256{
  "endpoint",
  "key_sha256",
  "",
  ValueFormat::kSha256,
  "",
  "SHA-256 of the key that endpoints authenticate with; empty lets anyone "
  "announce an endpoint."
};

inline constexpr TextSetting kLogLevel{ "log",
                                        "level",
                                        "info",
                                        ValueFormat::kChoice,
                                        "debug info warning error",
                                        "Minimum level that is logged." };
inline constexpr TextSetting kLogFormat{ "log",       "format",
                                         "text",      ValueFormat::kChoice,
                                         "text json", "Format of log lines." };

/// Type-erased setting, for validation and for the sample file.
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

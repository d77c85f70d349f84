#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/status.h>

#include "cactuswick/model/process/Fields.h"

/// Configuration of forwarded requests, which an operator declares and replaces
/// as a whole.
namespace cactuswick::model {

/// Whether requests of a route may run more than once.
enum class RouteType
{
  /// Idempotent; may run more than once.
  kSafe,
  /// Runs at most once per request.
  kUnsafe,
  /// An event stream; idempotent only if it is resumable.
  kStreaming,
};

/// Weight of one service in the traffic split of a route.
struct ServiceShare
{
  std::string service_;
  int64_t weight_ = 1;

  bool operator==(const ServiceShare&) const = default;
};

/// Forwarding rule for requests of one host and path prefix.
struct ForwardRoute
{
  std::string name_;
  std::string host_;
  /// Begins and ends with a slash; the longest matching prefix wins.
  std::string pathPrefix_;
  RouteType type_ = RouteType::kUnsafe;
  /// Upper limit of the time that a caller waits.
  int64_t timeoutMs_ = 0;
  /// Target time to the response, or to the first event of a stream.
  int64_t latencyTargetMs_ = 0;
  /// Target for the longest gap between events of a stream; 0 for none.
  int64_t gapTargetMs_ = 0;
  /// 0 is the most urgent.
  int64_t priority_ = 0;
  /// Upper limit of endpoints that one request is sent to.
  int64_t maxAttempts_ = 1;
  /// Callers need no API key.
  bool public_ = false;
  bool resumable_ = false;
  std::vector<ServiceShare> split_;

  /// Returns true when a request may safely run more than once.
  bool IsIdempotent() const
  {
    return type_ == RouteType::kSafe ||
           (type_ == RouteType::kStreaming && resumable_);
  }

  bool operator==(const ForwardRoute&) const = default;
};

/// Capacity of one model engine of a service.
struct EngineTraits
{
  /// Requests that an engine runs concurrently.
  int64_t slots_ = 1;
  /// Tokens that fit into an engine's KV cache.
  int64_t kvCacheTokens_ = 0;
  /// Upper limit of tokens in one event of a stream.
  int64_t tokensPerEvent_ = 1;

  bool operator==(const EngineTraits&) const = default;
};

/// A service whose endpoints routes forward to.
struct ForwardService
{
  std::string name_;
  std::string healthPath_;
  /// Connections that one endpoint accepts from all callers together.
  int64_t maxConnections_ = 0;
  /// Set if the endpoints are model engines.
  std::optional<EngineTraits> engine_;
  /// Requests per second that a cold endpoint bears from all routers together;
  /// 0 for any number.
  double coldRequestsPerS_ = 0;

  bool operator==(const ForwardService&) const = default;
};

/// Longest head and body of a request that a router accepts, whatever a
/// deployment's limits are.
inline constexpr int64_t kMaxCallerHeaderBytes = int64_t{ 64 } << 10;
inline constexpr int64_t kMaxCallerBodyBytes = int64_t{ 16 } << 20;

/// Limits on the size and duration of callers' requests.
struct CallerLimits
{
  int64_t maxHeaderBytes_ = int64_t{ 16 } << 10;
  int64_t maxBodyBytes_ = int64_t{ 4 } << 20;
  int64_t headerTimeoutMs_ = 3'000;
  int64_t idleTimeoutMs_ = 15'000;

  bool operator==(const CallerLimits&) const = default;
};

/// A workspace with its API keys and prepaid budget.
struct ForwardWorkspace
{
  std::string name_;
  std::vector<std::string> apiKeys_;
  /// Takes precedence over the route's priority.
  std::optional<int64_t> priority_;
  /// Total tokens that the workspace may use; unlimited if not set.
  std::optional<int64_t> prepaidTokens_;

  bool operator==(const ForwardWorkspace&) const = default;
};

/// One version of the whole configuration. The highest version wins.
struct Deployment
{
  int64_t version_ = 0;
  std::vector<ForwardRoute> routes_;
  std::vector<ForwardService> services_;
  CallerLimits limits_;
  /// Empty when callers need no keys.
  std::vector<ForwardWorkspace> workspaces_;

  bool operator==(const Deployment&) const = default;
};

/// A value for which a deployment is refused.
struct Violation
{
  /// JSON pointer to the value, with the field names of FieldsOf().
  std::string pointer_;
  /// kMalformed, kOutOfRange or kUnknownResource; FieldOf() names the offending
  /// route or workspace.
  absl::Status status_;
};

/// Returns everything for which @p aDeployment is refused, including references
/// between its parts, in document order: routes first.
std::vector<Violation>
FindViolations(const Deployment& aDeployment);

/// Returns the first violation's status, or OK if there is none.
absl::Status
Validate(const Deployment& aDeployment);

/// Returns the name under which the ledger keeps the prepaid budget of
/// @p aWorkspace.
std::string
PrepaidBudgetOf(const std::string& aWorkspace);

constexpr std::array<std::string_view, 3>
EnumNames(const RouteType*)
{
  return { "safe", "unsafe", "streaming" };
}
constexpr auto
FieldsOf(const ServiceShare*)
{
  return MakeFields(Field{ "service", &ServiceShare::service_ },
                    Field{ "weight", &ServiceShare::weight_ });
}
constexpr auto
FieldsOf(const ForwardRoute*)
{
  return MakeFields(
    Field{ "name", &ForwardRoute::name_ },
    Field{ "host", &ForwardRoute::host_ },
    Field{ "path_prefix", &ForwardRoute::pathPrefix_ },
    Field{ "type", &ForwardRoute::type_ },
    Field{ "timeout_ms", &ForwardRoute::timeoutMs_ },
    Field{ "latency_target_ms", &ForwardRoute::latencyTargetMs_ },
    Field{ "gap_target_ms", &ForwardRoute::gapTargetMs_ },
    Field{ "priority", &ForwardRoute::priority_ },
    Field{ "max_attempts", &ForwardRoute::maxAttempts_ },
    Field{ "public", &ForwardRoute::public_ },
    Field{ "resumable", &ForwardRoute::resumable_ },
    Field{ "split", &ForwardRoute::split_ });
}
constexpr auto
FieldsOf(const EngineTraits*)
{
  return MakeFields(
    Field{ "slots", &EngineTraits::slots_ },
    Field{ "kv_cache_tokens", &EngineTraits::kvCacheTokens_ },
    Field{ "tokens_per_event", &EngineTraits::tokensPerEvent_ });
}
constexpr auto
FieldsOf(const ForwardService*)
{
  return MakeFields(
    Field{ "name", &ForwardService::name_ },
    Field{ "health_path", &ForwardService::healthPath_ },
    Field{ "max_connections", &ForwardService::maxConnections_ },
    Field{ "engine", &ForwardService::engine_ },
    Field{ "cold_requests_per_s", &ForwardService::coldRequestsPerS_ });
}
constexpr auto
FieldsOf(const CallerLimits*)
{
  return MakeFields(
    Field{ "max_header_bytes", &CallerLimits::maxHeaderBytes_ },
    Field{ "max_body_bytes", &CallerLimits::maxBodyBytes_ },
    Field{ "header_timeout_ms", &CallerLimits::headerTimeoutMs_ },
    Field{ "idle_timeout_ms", &CallerLimits::idleTimeoutMs_ });
}
constexpr auto
FieldsOf(const ForwardWorkspace*)
{
  return MakeFields(
    Field{ "name", &ForwardWorkspace::name_ },
    Field{ "api_keys", &ForwardWorkspace::apiKeys_ },
    Field{ "priority", &ForwardWorkspace::priority_ },
    Field{ "prepaid_tokens", &ForwardWorkspace::prepaidTokens_ });
}
constexpr auto
FieldsOf(const Deployment*)
{
  return MakeFields(Field{ "version", &Deployment::version_ },
                    Field{ "routes", &Deployment::routes_ },
                    Field{ "services", &Deployment::services_ },
                    Field{ "limits", &Deployment::limits_ },
                    Field{ "workspaces", &Deployment::workspaces_ });
}

} // namespace cactuswick::model

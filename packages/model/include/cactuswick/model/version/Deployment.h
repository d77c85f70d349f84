#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/status.h>

/// What an operator declares as a whole for forwarded requests.
namespace cactuswick::model {

/// What may be repeated on a route.
enum class RouteType
{
  /// Idempotent: may run more than once.
  kSafe,
  /// Runs at most once per request.
  kUnsafe,
  /// An event stream; idempotent only where it may be resumed.
  kStreaming,
};

/// A service's share of a route's requests.
struct ServiceShare
{
  std::string service_;
  int64_t weight_ = 1;

  bool operator==(const ServiceShare&) const = default;
};

/// Where requests of one host and path prefix go, and how.
struct ForwardRoute
{
  std::string name_;
  std::string host_;
  /// Begins and ends with a slash; the longest that fits wins.
  std::string pathPrefix_;
  RouteType type_ = RouteType::kUnsafe;
  /// Longest time that a caller is kept waiting.
  int64_t timeoutMs_ = 0;
  /// Time to the answer, or to a stream's first event.
  int64_t latencyTargetMs_ = 0;
  /// Longest pause between events of a stream; 0 for none.
  int64_t gapTargetMs_ = 0;
  /// 0 is the most urgent.
  int64_t priority_ = 0;
  /// Most endpoints that one request may be sent to.
  int64_t maxAttempts_ = 1;
  /// Needs no API key.
  bool public_ = false;
  bool resumable_ = false;
  std::vector<ServiceShare> split_;

  /// Whether a second run of a request does no harm.
  bool IsIdempotent() const
  {
    return type_ == RouteType::kSafe ||
           (type_ == RouteType::kStreaming && resumable_);
  }

  bool operator==(const ForwardRoute&) const = default;
};

/// Model engines behind a service.
struct EngineTraits
{
  /// Requests that an engine runs at once.
  int64_t slots_ = 1;
  /// Tokens that fit into an engine's memory.
  int64_t memoryTokens_ = 0;
  /// Most tokens in one event of a stream.
  int64_t tokensPerEvent_ = 1;

  bool operator==(const EngineTraits&) const = default;
};

struct ForwardService
{
  std::string name_;
  std::string healthPath_;
  /// Connections that one endpoint accepts from all callers together.
  int64_t maxConnections_ = 0;
  /// Set where the endpoints are model engines.
  std::optional<EngineTraits> engine_;

  bool operator==(const ForwardService&) const = default;
};

/// What callers may send, and how long they may take.
struct CallerLimits
{
  int64_t maxHeaderBytes_ = int64_t{ 16 } << 10;
  int64_t maxBodyBytes_ = int64_t{ 4 } << 20;
  int64_t headerTimeoutMs_ = 3'000;
  int64_t idleTimeoutMs_ = 15'000;

  bool operator==(const CallerLimits&) const = default;
};

struct ForwardWorkspace
{
  std::string name_;
  std::vector<std::string> apiKeys_;
  /// Goes before the route's priority.
  std::optional<int64_t> priority_;
  /// Tokens that may be used in all; none for no limit.
  std::optional<int64_t> prepaidTokens_;

  bool operator==(const ForwardWorkspace&) const = default;
};

/// One version of everything that is declared. The highest version wins.
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

/// Checks a deployment as a whole; kMalformed, kOutOfRange or
/// kUnknownResource names the offending field.
absl::Status
Validate(const Deployment& aDeployment);

/// The ledger's name of a workspace's declared budget.
std::string
PrepaidBudgetOf(const std::string& aWorkspace);

} // namespace cactuswick::model

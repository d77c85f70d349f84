#include "version/LimitCheck.h"

#include "cactuswick/model/process/Text.h"

namespace cactuswick::check {

namespace {

using model::Concat;
using model::RouteType;

/// Collects the findings about one entry of a deployment.
class EntryFindings
{
public:
  EntryFindings(Findings& aFindings, std::string aPointer, std::string aEntry)
    : findings_(aFindings)
    , pointer_(std::move(aPointer))
    , entry_(std::move(aEntry))
  {
  }

  /// Adds a finding if @p aIsFound.
  void Add(bool aIsFound,
           Severity aSeverity,
           FindingKind aKind,
           std::string_view aField,
           std::string_view aMessage)
  {
    if (aIsFound) {
      findings_.push_back({ aSeverity,
                            aKind,
                            Concat(pointer_, "/", aField),
                            Concat(entry_, aMessage) });
    }
  }

  void Warn(bool aIsFound,
            FindingKind aKind,
            std::string_view aField,
            std::string_view aMessage)
  {
    Add(aIsFound, Severity::kWarning, aKind, aField, aMessage);
  }

private:
  Findings& findings_;
  std::string pointer_;
  std::string entry_;
};

void
CheckRoute(const model::ForwardRoute& aRoute, EntryFindings aFindings)
{
  constexpr auto kContradiction = FindingKind::kContradiction;
  const bool streams = aRoute.type_ == RouteType::kStreaming;
  const int64_t timeout = aRoute.timeoutMs_;
  const int64_t target = aRoute.latencyTargetMs_;
  aFindings.Warn(timeout > 0 && target >= timeout,
                 kContradiction,
                 "latency_target_ms",
                 "the target for the response is not below the time-out");
  aFindings.Warn(timeout > 0 && streams && aRoute.gapTargetMs_ >= timeout,
                 kContradiction,
                 "gap_target_ms",
                 "the target for gaps is not below the time-out");
  aFindings.Add(target > 0 && target < timeout && aRoute.maxAttempts_ > 1 &&
                  aRoute.maxAttempts_ > timeout / target,
                Severity::kNote,
                kContradiction,
                "max_attempts",
                "attempts that each take up to the target for the response do "
                "not all fit into the time-out");
  aFindings.Warn(aRoute.maxAttempts_ < 1,
                 kContradiction,
                 "max_attempts",
                 "every request has one attempt; expected at least 1");
  aFindings.Warn(aRoute.resumable_ && !streams,
                 kContradiction,
                 "resumable",
                 "only streaming routes are resumed");
  aFindings.Warn(target < 0,
                 FindingKind::kInvalid,
                 "latency_target_ms",
                 "expected a non-negative time");
  aFindings.Warn(aRoute.gapTargetMs_ < 0,
                 FindingKind::kInvalid,
                 "gap_target_ms",
                 "expected a non-negative time");
  aFindings.Warn(aRoute.priority_ < 0,
                 FindingKind::kInvalid,
                 "priority",
                 "0 is the most urgent");
}

void
CheckEngine(const model::ForwardService& aService, EntryFindings& aFindings)
{
  const auto& engine = *aService.engine_;
  constexpr auto kContradiction = FindingKind::kContradiction;
  const bool hasMemory = engine.kvCacheTokens_ > 0;
  aFindings.Warn(engine.slots_ < 1,
                 FindingKind::kInvalid,
                 "engine/slots",
                 "its engines take no requests; expected at least 1");
  aFindings.Warn(engine.tokensPerEvent_ < 1,
                 FindingKind::kInvalid,
                 "engine/tokens_per_event",
                 "expected at least 1");
  aFindings.Warn(engine.kvCacheTokens_ < 0,
                 FindingKind::kInvalid,
                 "engine/kv_cache_tokens",
                 "expected a non-negative number of tokens");
  aFindings.Warn(hasMemory && engine.tokensPerEvent_ > engine.kvCacheTokens_,
                 kContradiction,
                 "engine/tokens_per_event",
                 "one event is larger than the engine's memory");
  aFindings.Warn(hasMemory && engine.slots_ > engine.kvCacheTokens_,
                 kContradiction,
                 "engine/slots",
                 "more slots than the engine's memory has tokens");
  aFindings.Warn(aService.maxConnections_ > 0 &&
                   aService.maxConnections_ < engine.slots_,
                 kContradiction,
                 "max_connections",
                 "fewer connections than the engine has slots");
}

void
CheckService(const model::ForwardService& aService, EntryFindings aFindings)
{
  aFindings.Warn(aService.maxConnections_ < 0,
                 FindingKind::kInvalid,
                 "max_connections",
                 "expected a non-negative number");
  if (aService.engine_) {
    CheckEngine(aService, aFindings);
  }
}

void
CheckCallerLimits(const model::CallerLimits& aLimits, EntryFindings aFindings)
{
  aFindings.Warn(aLimits.maxHeaderBytes_ < 1,
                 FindingKind::kContradiction,
                 "max_header_bytes",
                 "no request has so short a head");
  aFindings.Warn(aLimits.maxBodyBytes_ < 1,
                 FindingKind::kContradiction,
                 "max_body_bytes",
                 "no request with a body is accepted");
  aFindings.Warn(
    aLimits.maxHeaderBytes_ > model::kMaxCallerHeaderBytes,
    FindingKind::kBeyondLimit,
    "max_header_bytes",
    Concat("routers accept at most ", model::kMaxCallerHeaderBytes));
  aFindings.Warn(aLimits.maxBodyBytes_ > model::kMaxCallerBodyBytes,
                 FindingKind::kBeyondLimit,
                 "max_body_bytes",
                 Concat("routers accept at most ", model::kMaxCallerBodyBytes));
  aFindings.Warn(aLimits.headerTimeoutMs_ < 1,
                 FindingKind::kInvalid,
                 "header_timeout_ms",
                 "expected a positive time");
  aFindings.Warn(aLimits.idleTimeoutMs_ < 1,
                 FindingKind::kInvalid,
                 "idle_timeout_ms",
                 "expected a positive time");
}

void
CheckWorkspace(const model::ForwardWorkspace& aWorkspace,
               EntryFindings aFindings)
{
  aFindings.Warn(aWorkspace.prepaidTokens_ == 0,
                 FindingKind::kContradiction,
                 "prepaid_tokens",
                 "no request fits into a budget of 0");
  aFindings.Warn(aWorkspace.priority_.value_or(0) < 0,
                 FindingKind::kInvalid,
                 "priority",
                 "0 is the most urgent");
}

} // namespace

Findings
CheckLimits(const model::Deployment& aDeployment)
{
  Findings findings;
  for (size_t i = 0; i < aDeployment.routes_.size(); ++i) {
    const auto& route = aDeployment.routes_[i];
    CheckRoute(
      route,
      { findings, Concat("/routes/", i), Concat("route ", route.name_, ": ") });
  }
  for (size_t i = 0; i < aDeployment.services_.size(); ++i) {
    const auto& service = aDeployment.services_[i];
    CheckService(service,
                 { findings,
                   Concat("/services/", i),
                   Concat("service ", service.name_, ": ") });
  }
  CheckCallerLimits(aDeployment.limits_, { findings, "/limits", "" });
  for (size_t i = 0; i < aDeployment.workspaces_.size(); ++i) {
    const auto& workspace = aDeployment.workspaces_[i];
    CheckWorkspace(workspace,
                   { findings,
                     Concat("/workspaces/", i),
                     Concat("workspace ", workspace.name_, ": ") });
  }
  return findings;
}

} // namespace cactuswick::check

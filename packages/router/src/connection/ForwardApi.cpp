#include "connection/ForwardApi.h"

#include <algorithm>
#include <utility>

#include "cactuswick/model/process/Error.h"
#include "cactuswick/telemetry/process/Log.h"
#include "request/ForwardPrompt.h"

namespace cactuswick::router {

namespace {

using model::Concat;
using model::ErrorKind;
using model::MakeError;
using telemetry::Counter;
using telemetry::Level;
using telemetry::LogRequest;
using telemetry::Part;
using transport::EventLoop;

/// Retry-After is drawn at random from this range, so that callers refused
/// together do not return together.
constexpr int64_t kMinRetryAfterMs = 250;
constexpr int64_t kMaxRetryAfterMs = 900;
/// The same for callers that another router can serve at once.
constexpr int64_t kMinElsewhereRetryAfterMs = 10;
constexpr int64_t kMaxElsewhereRetryAfterMs = 50;
/// Retry-After is at most the caller's remaining time divided by this, as
/// callers do not follow a longer wait.
constexpr int64_t kRetryAfterDivisor = 3;

} // namespace

ForwardApi::ForwardApi(ForwardApiOptions aOptions)
  : options_(std::move(aOptions))
  , random_(options_.seed_)
{
  options_.services_.dispatcher_.SetEndpointsStoppedHook(
    [this] { OnEndpointsStopped(); });
}

void
ForwardApi::SetDeployment(std::unique_ptr<const DeploymentView> aDeployment)
{
  deployment_ = std::move(aDeployment);
}

void
ForwardApi::Handle(std::unique_ptr<transport::HttpExchange> aExchange)
{
  if (options_.isLeaving_()) {
    aExchange->CloseAfterReply();
  }
  auto request = options_.services_.dialect_.decode_(*aExchange);
  const std::string name = request.ok() ? request->id_ : "";
  auto plan = Plan(*aExchange, std::move(request));
  if (!plan.ok()) {
    Refuse(*aExchange, name, plan.status());
    return;
  }
  const auto quarantined = options_.services_.quarantine_.Find(plan->prompt_);
  if (quarantined && !quarantined->probeDue_) {
    Refuse(*aExchange,
           name,
           QuarantineError(quarantined->part_),
           quarantined->retryAfterMs_);
    return;
  }
  plan->probedPart_ = quarantined ? quarantined->part_ : "";
  const routing::RequestId id = plan->id_;
  auto exchange = std::make_unique<ForwardExchange>(
    options_.services_, std::move(aExchange), *std::move(plan), [this, id] {
      // Destroyed later: the exchange is still on the call stack.
      options_.services_.loop_.Defer([this, id] { exchanges_.erase(id); });
    });
  ForwardExchange& started = *exchange;
  exchanges_[id] = std::move(exchange);
  started.Start();
}

absl::Status
ForwardApi::CheckAccepts(const transport::HttpExchange& aExchange,
                         const absl::StatusOr<ForwardRequest>& aRequest) const
{
  if (!deployment_ || !options_.isReady_()) {
    return MakeError(ErrorKind::kStarting, "", "no deployment received yet");
  }
  if (options_.refusesNew_()) {
    return DrainingError();
  }
  if (!aRequest.ok()) {
    return aRequest.status();
  }
  const auto& limits = deployment_->Spec().limits_;
  if (aExchange.Body().size() > static_cast<size_t>(limits.maxBodyBytes_)) {
    return MakeError(ErrorKind::kTooLarge, "body", "the body is too large");
  }
  return absl::OkStatus();
}

absl::StatusOr<ForwardPlan>
ForwardApi::Plan(const transport::HttpExchange& aExchange,
                 absl::StatusOr<ForwardRequest> aRequest)
{
  absl::Status status = CheckAccepts(aExchange, aRequest);
  if (!status.ok()) {
    return status;
  }
  const auto* route = deployment_->FindRoute(aRequest->host_, aRequest->path_);
  if (route == nullptr) {
    return MakeError(ErrorKind::kUnknownResource, "path", "no such route");
  }
  ForwardPlan plan{ .id_ = ++lastId_,
                    .request_ = *std::move(aRequest),
                    .route_ = *route,
                    .priority_ = route->priority_,
                    .deploymentVersion_ = deployment_->Spec().version_,
                    .startMs_ = EventLoop::NowMs() };
  plan.prompt_ = SharedPromptOf(plan.request_);
  SetDeadlines(plan);
  if (!options_.accepts_(plan.deadlines_.callerMs_)) {
    return DrainingError();
  }
  status = ResolveWorkspace(plan);
  if (status.ok()) {
    status = ChooseService(plan);
  }
  if (status.ok()) {
    status = ApplyServiceTraits(plan);
  }
  if (!status.ok()) {
    return status;
  }
  RetryBudgetOf(plan.service_).OnRequest();
  plan.moveTo_ = [this](ForwardPlan& aPlan, const std::string& aService) {
    return MoveTo(aPlan, aService);
  };
  plan.retryAfterMs_ =
    [this, deadline = plan.deadlines_.attemptMs_](ErrorKind aKind) {
      return RetryAfterMs(aKind, deadline);
    };
  return plan;
}

void
ForwardApi::SetDeadlines(ForwardPlan& aPlan) const
{
  const int64_t timeout = aPlan.route_.timeoutMs_;
  const int64_t wait =
    std::min(timeout, aPlan.request_.deadlineMs_.value_or(timeout));
  aPlan.deadlines_ =
    DeadlinesOf(aPlan.startMs_,
                wait,
                options_.services_.linkDelay_.EstimateMs(aPlan.startMs_));
}

absl::Status
ForwardApi::ResolveWorkspace(ForwardPlan& aPlan) const
{
  if (deployment_->Spec().workspaces_.empty()) {
    return absl::OkStatus();
  }
  const auto* workspace =
    deployment_->FindWorkspaceByKey(aPlan.request_.apiKey_);
  if (workspace != nullptr) {
    aPlan.workspace_ = workspace->name_;
    aPlan.priority_ = workspace->priority_.value_or(aPlan.priority_);
    SetBound(aPlan, *workspace);
    return absl::OkStatus();
  }
  if (aPlan.route_.public_) {
    return absl::OkStatus();
  }
  return MakeError(
    ErrorKind::kUnauthorized, "key", "expected a workspace's API key");
}

absl::Status
ForwardApi::ChooseService(ForwardPlan& aPlan)
{
  int64_t sum = 0;
  std::vector<model::ServiceShare> available;
  for (const auto& share : aPlan.route_.split_) {
    if (share.weight_ > 0 &&
        options_.services_.dispatcher_.Serves(share.service_)) {
      available.push_back(share);
      sum += share.weight_;
    }
  }
  if (available.empty()) {
    return NoServiceError(aPlan.route_);
  }
  int64_t draw = std::uniform_int_distribution<int64_t>(0, sum - 1)(random_);
  for (const auto& share : available) {
    draw -= share.weight_;
    if (draw < 0) {
      aPlan.service_ = share.service_;
      break;
    }
  }
  return absl::OkStatus();
}

absl::Status
ForwardApi::MoveTo(ForwardPlan& aPlan, const std::string& aService)
{
  const auto& split = aPlan.route_.split_;
  const bool leadsThere =
    std::any_of(split.begin(), split.end(), [&](const auto& aShare) {
      return aShare.weight_ > 0 && aShare.service_ == aService;
    });
  if (!leadsThere) {
    return MakeError(ErrorKind::kNoEndpoint,
                     aPlan.route_.name_,
                     "the route does not lead to the stream's service");
  }
  aPlan.service_ = aService;
  return ApplyServiceTraits(aPlan);
}

absl::Status
ForwardApi::ApplyServiceTraits(ForwardPlan& aPlan)
{
  aPlan.tryTakeRetry_ = [this, service = aPlan.service_] {
    return RetryBudgetOf(service).TryTake();
  };
  aPlan.tokensPerEvent_ = 1;
  const auto* service = deployment_->FindService(aPlan.service_);
  if (service == nullptr || !service->engine_) {
    return absl::OkStatus();
  }
  aPlan.tokensPerEvent_ = service->engine_->tokensPerEvent_;
  return CheckPromptFits(aPlan.request_, *service->engine_);
}

absl::Status
ForwardApi::NoServiceError(const model::ForwardRoute& aRoute) const
{
  const bool evacuated = std::any_of(
    aRoute.split_.begin(), aRoute.split_.end(), [&](const auto& aShare) {
      return aShare.weight_ > 0 &&
             options_.services_.dispatcher_.IsEvacuated(aShare.service_);
    });
  if (evacuated) {
    options_.services_.metrics_.Count(Counter::kEvacuationRefusals);
    return EvacuatedError(aRoute.name_);
  }
  return MakeError(ErrorKind::kNoEndpoint,
                   aRoute.name_,
                   "no endpoint serves the services of the route");
}

void
ForwardApi::SetBound(ForwardPlan& aPlan,
                     const model::ForwardWorkspace& aWorkspace)
{
  const auto& request = aPlan.request_;
  if (aWorkspace.prepaidTokens_ && request.promptTokens_) {
    aPlan.budget_ = model::PrepaidBudgetOf(aWorkspace.name_);
    aPlan.tokensToReserve_ = *request.promptTokens_ + request.maxOutputTokens_;
  }
}

void
ForwardApi::Refuse(transport::HttpExchange& aExchange,
                   const std::string& aId,
                   const absl::Status& aStatus,
                   std::optional<int64_t> aRetryAfterMs)
{
  const auto kind = model::KindOf(aStatus);
  if (kind == ErrorKind::kMalformed) {
    // The end of the body is unknown, so the next request on the connection
    // cannot be found.
    aExchange.CloseAfterReply();
  }
  const int64_t deadline =
    EventLoop::NowMs() + kRetryAfterDivisor * kMaxRetryAfterMs;
  const int64_t transientMs =
    model::IsTransient(kind) ? RetryAfterMs(kind, deadline) : 0;
  const int status = ReplyForwardError(aExchange,
                                       aStatus,
                                       ExecutionState::kNotRun,
                                       aRetryAfterMs.value_or(transientMs));
  options_.services_.metrics_.Count(Counter::kRefused, 1, model::NameOf(kind));
  LogRequest(Part::kCaller,
             Level::kWarning,
             aId,
             Concat("outcome=",
                    model::NameOf(kind),
                    " status=",
                    status,
                    " field=",
                    model::FieldOf(aStatus),
                    " path=",
                    aExchange.Path(),
                    " version=",
                    deployment_ ? deployment_->Spec().version_ : 0,
                    " in_flight=",
                    InFlight()));
}

void
ForwardApi::EndAll()
{
  for (const auto& [id, exchange] : exchanges_) {
    exchange->OnRouterStops();
  }
}

void
ForwardApi::OnQuarantined()
{
  for (const auto& [id, exchange] : exchanges_) {
    exchange->OnQuarantined();
  }
}

void
ForwardApi::OnCutOff()
{
  for (const auto& [id, exchange] : exchanges_) {
    exchange->OnCutOff();
  }
}

bool
ForwardApi::HasSilentCall(int64_t aSinceMs) const
{
  return std::any_of(
    exchanges_.begin(), exchanges_.end(), [&](const auto& aPair) {
      return aPair.second->IsSilentSince(aSinceMs);
    });
}

void
ForwardApi::OnEndpointsStopped()
{
  for (const auto& [id, exchange] : exchanges_) {
    exchange->OnEndpointsStopped();
  }
}

routing::RetryBudget&
ForwardApi::RetryBudgetOf(const std::string& aService)
{
  const auto found = retries_.find(aService);
  return found != retries_.end()
           ? found->second
           : retries_.try_emplace(aService, options_.retries_()).first->second;
}

int64_t
ForwardApi::RetryAfterMs(ErrorKind aKind, int64_t aDeadlineMs)
{
  const bool elsewhere = aKind == ErrorKind::kDraining;
  const int64_t remaining = aDeadlineMs - EventLoop::NowMs();
  const int64_t upper =
    std::clamp(remaining / kRetryAfterDivisor,
               int64_t{ 1 },
               elsewhere ? kMaxElsewhereRetryAfterMs : kMaxRetryAfterMs);
  const int64_t lower =
    std::min(upper, elsewhere ? kMinElsewhereRetryAfterMs : kMinRetryAfterMs);
  return std::uniform_int_distribution<int64_t>(lower, upper)(random_);
}

} // namespace cactuswick::router

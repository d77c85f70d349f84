#include "connection/CallerApi.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

#include <nlohmann/json.hpp>

#include "cactuswick/model/process/Codec.h"
#include "cactuswick/model/process/Error.h"
#include "cactuswick/model/process/Hash.h"
#include "cactuswick/model/process/Json.h"
#include "cactuswick/model/process/Text.h"
#include "cactuswick/routing/request/Admission.h"

namespace cactuswick::router {

namespace {

using model::Concat;
using model::ErrorKind;
using model::MakeError;
using telemetry::Counter;
using transport::EventLoop;

constexpr size_t kMaxKeyBytes = 128;
constexpr int64_t kMaxDeadlineMs = 24LL * 3'600 * 1'000;
constexpr int64_t kDefaultDeadlineMs = 60'000;
constexpr std::string_view kServicePrefix = "/v1/services/";
constexpr const char* kDefaultBudget = "main";

absl::StatusOr<int64_t>
ParsePositive(std::string_view aField, const std::string& aText, int64_t aHigh)
{
  int64_t number = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end || number < 1 ||
      number > aHigh) {
    return MakeError(
      ErrorKind::kOutOfRange, aField, Concat("expected 1 to ", aHigh));
  }
  return number;
}

bool
IsPrintable(const std::string& aText)
{
  return std::all_of(aText.begin(), aText.end(), [](char aByte) {
    return aByte > ' ' && aByte <= '~';
  });
}

/// Rank used if none is declared.
model::Rank
DefaultRank()
{
  return { .name_ = "default", .deadlineMs_ = kDefaultDeadlineMs };
}

/// Returns the call that a path "/v1/services/SERVICE/PATH" addresses.
ServiceCall
ServiceCallOf(std::string_view aPath)
{
  ConsumePrefix(aPath, kServicePrefix);
  const auto slash = std::min(aPath.find('/'), aPath.size());
  ServiceCall call{ .service_ = std::string(aPath.substr(0, slash)),
                    .path_ = std::string(aPath.substr(slash)) };
  call.path_ = call.path_.empty() ? "/" : call.path_;
  return call;
}

/// Reads whether a call may be repeated. GET may by definition; other methods
/// only if the caller declares it.
absl::Status
ReadIdempotent(const transport::HttpExchange& aExchange, ServiceCall& aCall)
{
  const std::string declared = aExchange.HeaderValue("X-Cactuswick-Idempotent");
  if (!declared.empty() && declared != "true" && declared != "false") {
    return MakeError(ErrorKind::kMalformed,
                     "X-Cactuswick-Idempotent",
                     "expected true or false");
  }
  aCall.idempotent_ =
    declared == "true" || (declared.empty() && aExchange.Method() == "GET");
  return absl::OkStatus();
}

} // namespace

CallerApi::CallerApi(CallerApiOptions aOptions)
  : options_(std::move(aOptions))
  , random_(model::Hash64(options_.address_))
{
}

std::unique_ptr<transport::HttpExchange>
CallerApi::Handle(Exchange aExchange)
{
  const std::string& path = aExchange->Path();
  const bool get = aExchange->Method() == "GET";
  if (path == "/v1/entry" && get) {
    HandleEntry(*aExchange);
    return nullptr;
  }
  if (path == "/v1/chat/completions" && aExchange->Method() == "POST") {
    HandleChat(std::move(aExchange));
    return nullptr;
  }
  if (path.starts_with(kServicePrefix)) {
    HandleService(std::move(aExchange));
    return nullptr;
  }
  if (path == "/v1/budgets" && get) {
    HandleBudgets(std::move(aExchange));
    return nullptr;
  }
  return aExchange;
}

void
CallerApi::HandleEntry(transport::HttpExchange& aExchange)
{
  if (!options_.isReady_()) {
    ReplyError(
      aExchange,
      MakeError(ErrorKind::kStarting, "", "no configuration received yet"));
    return;
  }
  const std::string domain = aExchange.QueryValue("failure_domain");
  struct Candidate
  {
    double sortKey_;
    std::string address_;
  };
  std::vector<Candidate> candidates;
  std::uniform_real_distribution<double> uniform(1e-9, 1.0);
  for (const auto& router : options_.services_.config_.Routers()) {
    if (router.state_ != ledger::RouterState::kServing) {
      continue;
    }
    const bool self = router.address_ == options_.address_;
    const auto load = self ? InFlight() : options_.loadOf_(router.incarnation_);
    // Weighted random order with weights that fall with load, so that callers
    // who ask at the same time do not all go to one router. Routers that do not
    // answer this one come last.
    const double weight = 1.0 / (1.0 + static_cast<double>(load.value_or(0)));
    double sortKey = -std::log(uniform(random_)) / weight;
    sortKey += router.failureDomain_ == domain ? 0 : 1;
    sortKey += load ? 0 : 1e6;
    candidates.push_back({ sortKey, router.address_ });
  }
  std::sort(
    candidates.begin(), candidates.end(), [](const auto& a, const auto& b) {
      return a.sortKey_ < b.sortKey_;
    });
  auto addresses = nlohmann::json::array();
  for (const auto& candidate : candidates) {
    addresses.push_back(candidate.address_);
  }
  ReplyJson(aExchange,
            model::PrintJson({ { "addresses", addresses },
                               { "ttl_ms", options_.entryTtlMs_ } }));
}

absl::StatusOr<const model::Workspace*>
CallerApi::Authenticate(const transport::HttpExchange& aExchange) const
{
  const std::string token = BearerToken(aExchange);
  const auto* workspace =
    token.empty()
      ? nullptr
      : options_.services_.config_.FindWorkspaceByKey(model::Sha256Hex(token));
  if (workspace == nullptr) {
    return MakeError(ErrorKind::kUnauthorized,
                     "Authorization",
                     "expected a workspace's API key");
  }
  return workspace;
}

absl::StatusOr<RequestInfo>
CallerApi::Admit(const transport::HttpExchange& aExchange,
                 const std::string& aServes,
                 ledger::Tokens aCost)
{
  if (!options_.isReady_()) {
    return MakeError(ErrorKind::kStarting, "", "no configuration received yet");
  }
  if (options_.refusesNew_()) {
    return MakeError(ErrorKind::kDraining, "", "this router is stopping");
  }
  const auto workspace = Authenticate(aExchange);
  if (!workspace.ok()) {
    return workspace.status();
  }
  const routing::RequestId id = ++lastId_;
  RequestInfo info{ .id_ = id,
                    .logId_ = model::Concat("r", id),
                    .workspace_ = **workspace,
                    .startMs_ = EventLoop::NowMs(),
                    .startedLogTimeMs_ =
                      options_.services_.control_.LogTime() };
  absl::Status status = ReadHeaders(aExchange, info);
  if (status.ok()) {
    status = CheckAdmission(info, aServes, aCost);
  }
  if (!status.ok()) {
    return status;
  }
  return info;
}

absl::Status
CallerApi::ReadHeaders(const transport::HttpExchange& aExchange,
                       RequestInfo& aInfo)
{
  const auto& config = options_.services_.config_;
  const std::string rankName = aExchange.HeaderValue("X-Cactuswick-Rank");
  const auto* rank = config.FindRank(rankName);
  if (rank == nullptr && !rankName.empty()) {
    return MakeError(
      ErrorKind::kUnknownResource, "X-Cactuswick-Rank", "no such rank");
  }
  aInfo.rank_ = rank == nullptr ? DefaultRank() : *rank;
  int64_t deadline = aInfo.rank_.deadlineMs_;
  const std::string deadlineHeader =
    aExchange.HeaderValue("X-Cactuswick-Deadline-Ms");
  if (!deadlineHeader.empty()) {
    const auto parsed =
      ParsePositive("X-Cactuswick-Deadline-Ms", deadlineHeader, kMaxDeadlineMs);
    if (!parsed.ok()) {
      return parsed.status();
    }
    deadline = *parsed;
  }
  aInfo.deadlineMs_ = aInfo.startMs_ + deadline;
  const std::string budget = aExchange.HeaderValue("X-Cactuswick-Budget");
  const std::string name = budget.empty() ? kDefaultBudget : budget;
  // Restricted to the caller's own workspace.
  auto valid = model::ValidateName("X-Cactuswick-Budget", name);
  if (!valid.ok()) {
    return valid;
  }
  aInfo.budget_ = Concat(aInfo.workspace_.name_, "/", name);
  aInfo.key_ = aExchange.HeaderValue("Idempotency-Key");
  if (aInfo.key_.size() > kMaxKeyBytes || !IsPrintable(aInfo.key_)) {
    return MakeError(ErrorKind::kMalformed,
                     "Idempotency-Key",
                     "expected at most 128 printable characters");
  }
  if (aInfo.key_.empty()) {
    aInfo.key_ = Concat(
      "router-", options_.services_.control_.Incarnation(), "-", aInfo.id_);
  }
  aInfo.fingerprint_ = static_cast<int64_t>(model::Hash64(aExchange.Body()));
  return absl::OkStatus();
}

absl::Status
CallerApi::CheckAdmission(const RequestInfo& aInfo,
                          const std::string& aServes,
                          ledger::Tokens aCost)
{
  const auto& services = options_.services_;
  const auto& dispatcher = services.dispatcher_;
  const auto own = inFlightByWorkspace_.find(aInfo.workspace_.name_);
  return routing::Admit(
    { .hasEndpoint_ = dispatcher.Serves(aServes),
      .hasSettlementPath_ = services.biller_.HasSettlementPath(),
      .queued_ = dispatcher.QueuedAtOrAbove(aServes, aInfo.rank_.priority_),
      .queueLimit_ = services.limits_.queueLimit_,
      .inFlight_ = InFlight(),
      .inFlightLimit_ = services.limits_.maxInFlight_,
      .workspaceInFlight_ = own == inFlightByWorkspace_.end() ? 0 : own->second,
      .workspaceLimit_ = aInfo.workspace_.maxConcurrent_,
      .nowMs_ = aInfo.startMs_,
      .expectedWaitMs_ =
        dispatcher.ExpectedWaitMs(aServes, QueuedRequestOf(aInfo, aCost)),
      .deadlineMs_ = QueueDeadlineOf(aInfo) });
}

void
CallerApi::CountRefusal(const absl::Status& aStatus)
{
  options_.services_.metrics_.Count(
    Counter::kRefused, 1, model::NameOf(model::KindOf(aStatus)));
}

void
CallerApi::HandleChat(Exchange aExchange)
{
  auto request = ParseChatRequest(aExchange->Body());
  absl::StatusOr<RequestInfo> info =
    request.ok() ? Admit(*aExchange,
                         request->model_,
                         request->promptTokensBound_ + request->maxTokens_)
                 : Admit(*aExchange, "", 0);
  const bool authorized =
    info.ok() || model::KindOf(info.status()) != ErrorKind::kUnauthorized;
  absl::Status status = authorized ? request.status() : info.status();
  const auto& config = options_.services_.config_;
  const auto* declared =
    request.ok() ? config.Find<model::Model>(request->model_) : nullptr;
  if (status.ok() && options_.isReady_() && declared == nullptr) {
    status = MakeError(ErrorKind::kUnknownResource, "model", "no such model");
  }
  status.Update(info.status());
  if (!status.ok()) {
    CountRefusal(status);
    ReplyError(*aExchange, status);
    return;
  }
  const int64_t limit = declared->maxOutputTokens_;
  request->maxTokens_ =
    request->maxTokens_ == 0 ? limit : std::min(limit, request->maxTokens_);
  const routing::RequestId id = info->id_;
  const std::string workspace = info->workspace_.name_;
  ++inFlightByWorkspace_[workspace];
  auto exchange = std::make_unique<ModelExchange>(
    options_.services_,
    std::move(aExchange),
    *std::move(info),
    *std::move(request),
    [this, id, workspace] { OnEnd(id, workspace); });
  ModelExchange& started = *exchange;
  modelExchanges_[id] = std::move(exchange);
  started.Start();
}

void
CallerApi::HandleService(Exchange aExchange)
{
  ServiceCall call = ServiceCallOf(aExchange->Path());
  absl::StatusOr<RequestInfo> info = Admit(*aExchange, call.service_, 1);
  absl::Status status = info.status();
  const auto* declared =
    options_.services_.config_.Find<model::Service>(call.service_);
  const bool authorized =
    status.ok() || model::KindOf(status) == ErrorKind::kNoEndpoint;
  if (authorized && declared == nullptr) {
    status =
      MakeError(ErrorKind::kUnknownResource, "service", "no such service");
  }
  if (status.ok()) {
    status = ReadIdempotent(*aExchange, call);
  }
  if (!status.ok()) {
    CountRefusal(status);
    ReplyError(*aExchange, status);
    return;
  }
  call.price_ = declared->priceTokens_;
  const routing::RequestId id = info->id_;
  const std::string workspace = info->workspace_.name_;
  ++inFlightByWorkspace_[workspace];
  auto exchange = std::make_unique<ServiceExchange>(
    options_.services_,
    std::move(aExchange),
    *std::move(info),
    std::move(call),
    [this, id, workspace] { OnEnd(id, workspace); });
  ServiceExchange& started = *exchange;
  serviceExchanges_[id] = std::move(exchange);
  started.Start();
}

void
CallerApi::HandleBudgets(Exchange aExchange)
{
  const auto workspace = Authenticate(*aExchange);
  if (!workspace.ok()) {
    ReplyError(*aExchange, workspace.status());
    return;
  }
  const std::string prefix = Concat("budget/", (*workspace)->name_, "/");
  const std::shared_ptr<transport::HttpExchange> exchange =
    std::move(aExchange);
  options_.services_.control_.Query(
    transport::QueryType::kResources,
    prefix,
    [exchange](const absl::StatusOr<transport::QueryReply>& aReply) {
      if (!aReply.ok()) {
        ReplyError(*exchange, aReply.status());
        return;
      }
      auto list = nlohmann::json::array();
      for (const auto& account : aReply->accounts_) {
        list.push_back(
          { { "budget", account.budget_ },
            { "topped_up", account.account_.toppedUp_ },
            { "billed", account.account_.billed_ },
            { "held", account.account_.held_ },
            { "remaining",
              account.account_.toppedUp_ - account.account_.billed_ -
                account.account_.held_ } });
      }
      ReplyJson(*exchange, model::PrintJson(list));
    });
}

int64_t
CallerApi::InFlight() const
{
  return static_cast<int64_t>(modelExchanges_.size() +
                              serviceExchanges_.size());
}

std::optional<ledger::LogTimeMs>
CallerApi::OldestStart() const
{
  std::optional<ledger::LogTimeMs> oldest;
  // Request ids increase over time, so the first of each map is its oldest.
  if (!modelExchanges_.empty()) {
    oldest = modelExchanges_.begin()->second->Info().startedLogTimeMs_;
  }
  if (!serviceExchanges_.empty()) {
    const auto started =
      serviceExchanges_.begin()->second->Info().startedLogTimeMs_;
    oldest = std::min(oldest.value_or(started), started);
  }
  return oldest;
}

void
CallerApi::OnEnd(routing::RequestId aId, const std::string& aWorkspace)
{
  if (--inFlightByWorkspace_[aWorkspace] == 0) {
    inFlightByWorkspace_.erase(aWorkspace);
  }
  // Destroyed later: the exchange is still on the call stack.
  options_.services_.loop_.Defer([this, aId] {
    modelExchanges_.erase(aId);
    serviceExchanges_.erase(aId);
  });
}

} // namespace cactuswick::router

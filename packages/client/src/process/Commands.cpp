#include "process/Commands.h"

#include <fstream>
#include <iostream>
#include <iterator>
#include <utility>

#include "cactuswick/check/version/ResourceCheck.h"
#include "cactuswick/model/process/Codec.h"
#include "cactuswick/model/process/Error.h"
#include "cactuswick/model/process/Hash.h"
#include "cactuswick/model/process/Json.h"
#include "cactuswick/model/process/Text.h"
#include "cactuswick/telemetry/process/BurnReport.h"
#include "process/Output.h"

namespace cactuswick::client {

namespace {

using model::Concat;
using model::ErrorKind;
using model::MakeError;
using nlohmann::json;

constexpr std::string_view kOperatorPath = "/v1/operator/";
constexpr std::string_view kResourcesPath = "/v1/operator/resources/";

std::string
IdempotencyIdOf(const CommandContext& aContext)
{
  return aContext.requestId_.empty() ? Concat("cli-", model::RandomHex())
                                     : aContext.requestId_;
}

absl::StatusOr<transport::QueryReply>
Query(const CommandContext& aContext, const std::string& aKey)
{
  const auto response =
    aContext.api_.Send({ .path_ = Concat(kResourcesPath, aKey) });
  if (!response.ok()) {
    return response.status();
  }
  const auto message =
    model::DecodeJson<transport::PeerMessage>(response->body_);
  if (!message.ok()) {
    return message.status();
  }
  const auto* reply = std::get_if<transport::QueryReply>(&*message);
  if (reply == nullptr) {
    return MakeError(ErrorKind::kMalformed, "", "unexpected type of reply");
  }
  return *reply;
}

absl::StatusOr<transport::ControlStatus>
QueryStatus(const CommandContext& aContext)
{
  const auto response =
    aContext.api_.Send({ .path_ = Concat(kOperatorPath, "status") });
  if (!response.ok()) {
    return response.status();
  }
  return model::DecodeJson<transport::ControlStatus>(response->body_);
}

/// Returns the version of a resource or budget, or 0 when it does not exist.
absl::StatusOr<int64_t>
CurrentVersion(const CommandContext& aContext, const std::string& aKey)
{
  const auto reply = Query(aContext, aKey);
  if (!reply.ok()) {
    return reply.status();
  }
  if (!reply->accounts_.empty()) {
    return reply->accounts_.front().account_.version_;
  }
  const bool live =
    !reply->resources_.empty() && !reply->resources_.front().deleted_;
  return live ? reply->resources_.front().version_ : 0;
}

absl::Status
ApplyOne(const CommandContext& aContext,
         const json& aSpec,
         const std::string& aRequestId)
{
  const auto entry = check::DecodeEntry(model::PrintJson(aSpec));
  if (!entry.ok()) {
    return entry.status();
  }
  const std::string key = model::KeyOf(entry->spec_);
  const auto base = entry->baseVersion_.value_or(-1) < 0
                      ? CurrentVersion(aContext, key)
                      : absl::StatusOr<int64_t>(*entry->baseVersion_);
  if (!base.ok()) {
    return base.status();
  }
  const auto response = aContext.api_.Send(
    { .method_ = "PUT",
      .path_ = Concat(kResourcesPath, key),
      .body_ = model::EncodeJson(entry->spec_),
      .headers_ = { { "X-Cactuswick-Base-Version", Concat(*base) },
                    { "X-Cactuswick-Request-Id", aRequestId } } });
  if (!response.ok()) {
    return response.status();
  }
  std::cout << key << " applied";
  const auto document = model::ParseJson(response->body_);
  if (document.ok()) {
    std::cout << ", version " << document->value("version", 0);
  }
  std::cout << "\n";
  return absl::OkStatus();
}

absl::Status
Post(const CommandContext& aContext,
     std::string_view aPath,
     const json& aBody,
     std::string_view aConfirmation)
{
  const auto response =
    aContext.api_.Send({ .method_ = "POST",
                         .path_ = Concat(kOperatorPath, aPath),
                         .body_ = model::PrintJson(aBody) });
  if (response.ok()) {
    std::cout << aConfirmation << "\n";
  }
  return response.status();
}

/// Appends '/' to a bare type, so that "rank" lists all ranks.
std::string
QueryKeyOf(const std::string& aKey)
{
  return aKey.find('/') == std::string::npos ? aKey + "/" : aKey;
}

} // namespace

absl::StatusOr<std::vector<model::Resource>>
ResourcesInForce(const CommandContext& aContext)
{
  std::vector<model::Resource> resources;
  for (const char* type :
       { "workspace", "rank", "model", "service", "apikey", "order" }) {
    const auto reply = Query(aContext, QueryKeyOf(type));
    if (!reply.ok()) {
      return reply.status();
    }
    resources.insert(
      resources.end(), reply->resources_.begin(), reply->resources_.end());
  }
  const auto budgets = Query(aContext, QueryKeyOf("budget"));
  if (!budgets.ok()) {
    return budgets.status();
  }
  for (const auto& one : budgets->accounts_) {
    resources.push_back({ .spec_ = model::Budget{ one.budget_ },
                          .version_ = one.account_.version_ });
  }
  return resources;
}

absl::Status
Apply(const CommandContext& aContext, const std::string& aFile)
{
  std::ifstream stream(aFile, std::ios::binary);
  if (!stream) {
    return MakeError(ErrorKind::kIo, aFile, "cannot read the file");
  }
  const std::string text{ std::istreambuf_iterator<char>(stream), {} };
  const auto document = model::ParseJson(text);
  if (!document.ok()) {
    return document.status();
  }
  const json list =
    document->is_array() ? *document : json::array({ *document });
  const std::string requestId = IdempotencyIdOf(aContext);
  int64_t number = 0;
  for (const auto& one : list) {
    auto status = ApplyOne(aContext, one, Concat(requestId, "-", ++number));
    if (!status.ok()) {
      return status;
    }
  }
  return absl::OkStatus();
}

absl::Status
Get(const CommandContext& aContext, const std::string& aKey)
{
  const auto reply = Query(aContext, QueryKeyOf(aKey));
  if (!reply.ok()) {
    return reply.status();
  }
  if (reply->accounts_.empty() && reply->resources_.empty() &&
      QueryKeyOf(aKey) == aKey) {
    return MakeError(ErrorKind::kUnknownResource, aKey, "does not exist");
  }
  std::cout << (aContext.json_
                  ? model::EncodeJson(transport::PeerMessage(*reply)) + "\n"
                  : FormatTable(*reply));
  return absl::OkStatus();
}

absl::Status
Describe(const CommandContext& aContext, const std::string& aKey)
{
  const auto reply = Query(aContext, aKey);
  const auto status = QueryStatus(aContext);
  if (!reply.ok() || !status.ok()) {
    return reply.ok() ? status.status() : reply.status();
  }
  std::cout << FormatDescription(*reply, *status);
  return absl::OkStatus();
}

absl::Status
Watch(const CommandContext& aContext, int aChanges)
{
  int64_t revision = -1;
  int seen = 0;
  while (aChanges == 0 || seen < aChanges) {
    const auto response = aContext.api_.Send(
      { .path_ = Concat(kOperatorPath, "watch?since=", revision) });
    if (!response.ok()) {
      return response.status();
    }
    const auto document = model::ParseJson(response->body_);
    const int64_t now =
      document.ok() ? document->value("revision", revision) : revision;
    if (now > revision) {
      revision = now;
      ++seen;
      std::cout << "revision " << revision << " in force\n" << std::flush;
    }
  }
  return absl::OkStatus();
}

absl::Status
Delete(const CommandContext& aContext, const std::string& aKey)
{
  const auto version = CurrentVersion(aContext, aKey);
  if (!version.ok()) {
    return version.status();
  }
  const auto response = aContext.api_.Send(
    { .method_ = "DELETE",
      .path_ = Concat(kResourcesPath, aKey),
      .headers_ = {
        { "X-Cactuswick-Base-Version", Concat(*version) },
        { "X-Cactuswick-Request-Id", IdempotencyIdOf(aContext) } } });
  if (response.ok()) {
    std::cout << aKey << " deleted\n";
  }
  return response.status();
}

absl::Status
TopUp(const CommandContext& aContext,
      const std::string& aBudget,
      int64_t aAmount)
{
  const std::string id = IdempotencyIdOf(aContext);
  return Post(aContext,
              "topups",
              { { "id", id }, { "budget", aBudget }, { "amount", aAmount } },
              Concat(aBudget, " topped up by ", aAmount, " (id ", id, ")"));
}

absl::Status
Release(const CommandContext& aContext,
        const std::string& aBudget,
        int64_t aAmount)
{
  return Post(aContext,
              "releases",
              { { "request_id", IdempotencyIdOf(aContext) },
                { "budget", aBudget },
                { "amount", aAmount } },
              Concat(aBudget, ": ", aAmount, " held tokens released"));
}

absl::Status
Status(const CommandContext& aContext)
{
  const auto status = QueryStatus(aContext);
  if (!status.ok()) {
    return status.status();
  }
  std::cout << (aContext.json_ ? model::EncodeJson(*status) + "\n"
                               : FormatTable(*status));
  return absl::OkStatus();
}

absl::Status
Drain(const CommandContext& aContext, const std::string& aRouter)
{
  const auto address = transport::ParseAddress("router", aRouter);
  if (!address.ok()) {
    return address.status();
  }
  const auto response = aContext.api_.SendTo(
    *address, { .method_ = "POST", .path_ = Concat(kOperatorPath, "drain") });
  if (response.ok()) {
    std::cout << aRouter << " drains\n";
  }
  return response.status();
}

absl::Status
EndRouter(const CommandContext& aContext, int64_t aIncarnation)
{
  return Post(aContext,
              "end-router",
              { { "request_id", IdempotencyIdOf(aContext) },
                { "incarnation", aIncarnation } },
              Concat("router ", aIncarnation, " ended"));
}

absl::Status
Quarantine(const CommandContext& aContext, const std::string& aPart)
{
  return Post(aContext,
              "quarantine",
              { { "part", aPart } },
              Concat("part ", aPart, " quarantined"));
}

absl::Status
LiftQuarantine(const CommandContext& aContext, const std::string& aPart)
{
  return Post(aContext,
              "quarantine/lift",
              { { "part", aPart } },
              Concat("quarantine of part ", aPart, " lifted"));
}

absl::Status
Evacuate(const CommandContext& aContext,
         const std::string& aFailureDomain,
         const std::string& aStep)
{
  if (aStep != "start" && aStep != "finish") {
    return MakeError(ErrorKind::kMalformed, "step", "expected start or finish");
  }
  return Post(aContext,
              Concat("evacuation/", aStep),
              { { "failure_domain", aFailureDomain } },
              Concat("evacuation of ", aFailureDomain, ": ", aStep, "ed"));
}

absl::Status
ChangeReplica(const CommandContext& aContext,
              const std::string& aAction,
              const std::string& aId)
{
  if (aAction != "add" && aAction != "remove") {
    return MakeError(ErrorKind::kMalformed, "action", "expected add or remove");
  }
  const auto response =
    aContext.api_.Send({ .method_ = aAction == "remove" ? "DELETE" : "POST",
                         .path_ = Concat(kOperatorPath, "replicas/", aId) });
  if (response.ok()) {
    std::cout << aId << ": " << aAction << " committed\n";
  }
  return response.status();
}

absl::Status
CreateKey(const CommandContext& aContext,
          const std::string& aWorkspace,
          const std::string& aName)
{
  const std::string key = Concat("cw-", model::RandomHex(), model::RandomHex());
  auto status = ApplyOne(aContext,
                         { { "type", "apikey" },
                           { "name", aName },
                           { "workspace", aWorkspace },
                           { "sha256", model::Sha256Hex(key) } },
                         IdempotencyIdOf(aContext));
  if (status.ok()) {
    std::cout << "key: " << key << "\n";
  }
  return status;
}

absl::Status
ReportBurn(const CommandContext& aContext, const std::string& aFormat)
{
  const auto routers = aContext.api_.Routers();
  if (!routers.ok()) {
    return routers.status();
  }
  std::vector<telemetry::BurnRows> rows;
  for (const auto& router : *routers) {
    const auto response =
      aContext.api_.SendTo(router, { .path_ = Concat(kOperatorPath, "burn") });
    const auto decoded =
      response.ok() ? model::DecodeJson<telemetry::BurnRows>(response->body_)
                    : response.status();
    if (decoded.ok()) {
      rows.push_back(*decoded);
    } else {
      std::cerr << "cactuswick: " << router.ToString()
                << " skipped: " << decoded.status().message() << "\n";
    }
  }
  const auto report = telemetry::MakeBurnReport(rows);
  if (aFormat == "html") {
    std::cout << telemetry::BurnReportAsHtml(report);
  } else if (aFormat == "json" || aContext.json_) {
    std::cout << telemetry::BurnReportAsJson(report) << "\n";
  } else {
    std::cout << telemetry::BurnReportAsTable(report);
  }
  return absl::OkStatus();
}

} // namespace cactuswick::client

#include "connection/HttpErrors.h"

#include <nlohmann/json.hpp>

#include "cactuswick/model/process/Error.h"
#include "cactuswick/model/process/Hash.h"
#include "cactuswick/model/process/Json.h"

namespace cactuswick::router {

namespace {

constexpr const char* kRetryAfterSeconds = "1";

} // namespace

std::string_view
NameOf(Outcome aOutcome)
{
  switch (aOutcome) {
    case Outcome::kWhole:
      return "whole";
    case Outcome::kRefused:
      return "refused";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "";
}

std::string
ErrorBody(const absl::Status& aStatus, Outcome aOutcome)
{
  const nlohmann::json body{
    { "error",
      { { "kind", model::NameOf(model::KindOf(aStatus)) },
        { "outcome", NameOf(aOutcome) },
        { "field", model::FieldOf(aStatus) },
        { "message", std::string(aStatus.message()) } } }
  };
  return model::PrintJson(body);
}

void
ReplyError(transport::HttpExchange& aExchange,
           const absl::Status& aStatus,
           Outcome aOutcome)
{
  const model::ErrorKind kind = model::KindOf(aStatus);
  transport::Headers headers{ { "Content-Type", kJsonType },
                              { kOutcomeHeader,
                                std::string(NameOf(aOutcome)) } };
  if (model::IsTransient(kind) || aOutcome == Outcome::kUnknown) {
    headers.push_back({ "Retry-After", kRetryAfterSeconds });
  }
  aExchange.Reply(
    model::HttpStatusOf(kind), headers, ErrorBody(aStatus, aOutcome));
}

void
ReplyJson(transport::HttpExchange& aExchange, std::string_view aBody)
{
  aExchange.Reply(kHttpOk, { { "Content-Type", kJsonType } }, aBody);
}

std::string
BearerToken(const transport::HttpExchange& aExchange)
{
  constexpr std::string_view kScheme = "Bearer ";
  const std::string value = aExchange.HeaderValue("Authorization");
  return value.starts_with(kScheme) ? value.substr(kScheme.size()) : "";
}

bool
HasKey(const transport::HttpExchange& aExchange, const std::string& aSha256)
{
  const std::string token = BearerToken(aExchange);
  return !token.empty() && model::Sha256Hex(token) == aSha256;
}

bool
ConsumePrefix(std::string_view& aPath, std::string_view aPrefix)
{
  if (!aPath.starts_with(aPrefix)) {
    return false;
  }
  aPath.remove_prefix(aPrefix.size());
  return true;
}

} // namespace cactuswick::router

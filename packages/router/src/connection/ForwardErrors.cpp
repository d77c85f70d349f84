#include "connection/ForwardErrors.h"

#include "cactuswick/model/process/Text.h"
#include "connection/HttpErrors.h"

namespace cactuswick::router {

namespace {

constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr double kMsPerSecond = 1'000;

} // namespace

int
ForwardStatusOf(const absl::Status& aStatus, ExecutionState aRunState)
{
  const model::ErrorKind kind = model::KindOf(aStatus);
  if (aRunState == ExecutionState::kMayHaveRun) {
    return kind == model::ErrorKind::kDeadlineUnreachable ? kGatewayTimeout
                                                          : kBadGateway;
  }
  switch (kind) {
    case model::ErrorKind::kMalformed:
    case model::ErrorKind::kTooLarge:
    case model::ErrorKind::kUnauthorized:
    case model::ErrorKind::kUnknownResource:
    case model::ErrorKind::kBudgetExhausted:
      return model::HttpStatusOf(kind);
    default:
      return kUnavailable;
  }
}

absl::Status
QuarantineError(const std::string& aPart)
{
  return model::MakeError(model::ErrorKind::kPartQuarantined,
                          aPart,
                          "requests with this prompt part crash endpoints");
}

absl::Status
DrainingError()
{
  return model::MakeError(
    model::ErrorKind::kDraining, "", "this router is stopping");
}

absl::Status
EvacuatedError(const std::string& aField)
{
  return model::MakeError(model::ErrorKind::kNoEndpoint,
                          aField,
                          "all endpoints are in evacuated failure domains");
}

absl::Status
OriginUnknownError()
{
  return model::MakeError(
    model::ErrorKind::kOriginUnknown,
    "",
    "it is not known at which software version the stream began");
}

absl::Status
VersionGoneError(const model::StreamOrigin& aOrigin)
{
  return model::MakeError(
    model::ErrorKind::kNoEndpoint,
    aOrigin.service_,
    "no endpoint runs the software version that began the stream");
}

bool
NeedsTopUp(model::ErrorKind aKind)
{
  return aKind == model::ErrorKind::kBudgetExhausted ||
         aKind == model::ErrorKind::kBudgetHeldForGood;
}

int
ReplyForwardError(transport::HttpExchange& aExchange,
                  const absl::Status& aStatus,
                  ExecutionState aRunState,
                  int64_t aRetryAfterMs)
{
  const auto outcome = aRunState == ExecutionState::kNotRun ? Outcome::kRefused
                                                            : Outcome::kUnknown;
  transport::Headers headers{ { "Content-Type", kJsonType } };
  if (aRetryAfterMs > 0) {
    const double seconds = static_cast<double>(aRetryAfterMs) / kMsPerSecond;
    headers.push_back({ "Retry-After", model::Concat(seconds) });
  }
  const int status = ForwardStatusOf(aStatus, aRunState);
  aExchange.Reply(status, headers, ErrorBody(aStatus, outcome));
  return status;
}

} // namespace cactuswick::router

// ForwardExchange: the log line of a request.

#include <algorithm>

#include "cactuswick/model/process/Text.h"
#include "cactuswick/telemetry/process/Log.h"
#include "request/ForwardExchange.h"

namespace cactuswick::router {

namespace {

using model::Concat;
using transport::EventLoop;

/// Maximum number of prompt parts in a request's log line.
constexpr size_t kMaxLoggedParts = 16;
/// Maximum length of an id that an endpoint has sent.
constexpr size_t kMaxLoggedIdBytes = 64;

/// Returns the log field that lists a prompt's parts; empty without any.
std::string
DescribeParts(const std::vector<PromptPart>& aParts)
{
  std::string text;
  const size_t count = std::min(aParts.size(), kMaxLoggedParts);
  for (size_t i = 0; i < count; ++i) {
    model::AppendTo(text, i == 0 ? " parts=" : ",", aParts[i].id_);
  }
  return text;
}

/// Returns the log field of the software version that began a stream; empty
/// before its first event.
std::string
DescribeOrigin(const std::optional<model::StreamOrigin>& aOrigin, bool aTakenUp)
{
  return aOrigin ? Concat(aTakenUp ? " taken_up_at=" : " began_at=",
                          aOrigin->softwareVersion_)
                 : "";
}

} // namespace

void
ForwardExchange::RecordGrantWait(int64_t aSinceMs, int64_t aWaitingBefore)
{
  const int64_t waited = EventLoop::NowMs() - aSinceMs;
  dependencies_.metrics_.Observe(telemetry::Summary::kGrantWaitMs,
                                 static_cast<double>(waited));
  if (waited == 0) {
    return;
  }
  const GrantWaitStatus wait =
    dependencies_.biller_.GrantWaitStatusOf(plan_.budget_);
  grantWaitFields_ = Concat(" grant_wait_ms=",
                            waited,
                            " waiting_before=",
                            aWaitingBefore,
                            " waiting=",
                            wait.waiting_,
                            " grant_request_age_ms=",
                            wait.grantRequestAgeMs_,
                            " control_trip_ms=",
                            wait.control_.lastRoundTripMs_,
                            " control_reply_age_ms=",
                            wait.control_.lastReplyAgeMs_,
                            " control_batch_age_ms=",
                            wait.control_.openBatchAgeMs_);
}

RequestLogEntry
ForwardExchange::MakeLogEntry(int aStatus) const
{
  return { aStatus,
           Concat("route=",
                  plan_.route_.name_,
                  " service=",
                  plan_.service_,
                  " workspace=",
                  plan_.workspace_,
                  " version=",
                  plan_.deploymentVersion_,
                  " attempts=",
                  attempts_.History(),
                  DescribeOrigin(origin_, TakesUpStream(plan_)),
                  " first_ms=",
                  telemetry_.FirstTokenMs(),
                  " total_ms=",
                  telemetry_.TotalMs(),
                  " events=",
                  relay_.EventCount(),
                  " prompt=",
                  plan_.request_.promptTokens_.value_or(0),
                  " prefill=",
                  prefill_.LastExpectedTokens(),
                  " bound=",
                  plan_.tokensToReserve_,
                  " used=",
                  relay_.UsedTokens(),
                  " grant_left=",
                  dependencies_.biller_.Free(plan_.budget_),
                  grantWaitFields_,
                  attempts_.HasFailed() || quarantinedPart_
                    ? DescribeParts(plan_.request_.parts_)
                    : "") };
}

void
ForwardExchange::LogSkippedResponse(const ForwardResponseHead& aHead) const
{
  telemetry::LogRequest(telemetry::Part::kEndpoint,
                        telemetry::Level::kWarning,
                        plan_.request_.id_,
                        Concat("skipped a response of request ",
                               aHead.requestId_.substr(0, kMaxLoggedIdBytes),
                               " status=",
                               aHead.status_,
                               " endpoint=",
                               attempts_.Endpoint().endpoint_));
}

} // namespace cactuswick::router

#include "request/ForwardPlan.h"

#include "cactuswick/model/process/Text.h"
#include "cactuswick/transport/process/EventLoop.h"
#include "connection/ForwardErrors.h"

namespace cactuswick::router {

namespace {

/// Retry-After of an exhausted budget, which only a top-up can change.
constexpr int64_t kTopUpRetryAfterMs = 30'000;

} // namespace

bool
IsResumableStream(const ForwardPlan& aPlan)
{
  return aPlan.route_.type_ == model::RouteType::kStreaming &&
         aPlan.route_.resumable_;
}

bool
TakesUpStream(const ForwardPlan& aPlan)
{
  return IsResumableStream(aPlan) && !(aPlan.request_.lastEventId_.empty() &&
                                       aPlan.request_.resumedId_.empty());
}

StreamQuery
StreamQueryOf(const ForwardPlan& aPlan)
{
  StreamQuery query{ .service_ = aPlan.service_ };
  if (!aPlan.request_.resumedId_.empty()) {
    query.stream_ = StreamKeyOf(aPlan);
  }
  for (const auto& share : aPlan.route_.split_) {
    if (share.weight_ > 0) {
      query.services_.push_back(share.service_);
    }
  }
  return query;
}

model::StreamKey
StreamKeyOf(const ForwardPlan& aPlan)
{
  const auto& request = aPlan.request_;
  const std::string& beganBy =
    request.resumedId_.empty() ? request.id_ : request.resumedId_;
  return model::StreamKeyOf(aPlan.workspace_, beganBy);
}

RequestInfo
RequestInfoOf(const ForwardPlan& aPlan)
{
  return { .id_ = aPlan.id_,
           .logId_ = aPlan.request_.id_,
           .workspace_ = { .name_ = aPlan.workspace_ },
           .hasWorkspaceObjectives_ = false,
           .rank_ = { .name_ = model::Concat("priority-", aPlan.priority_),
                      .priority_ = aPlan.priority_,
                      .firstTokenTargetMs_ = aPlan.route_.latencyTargetMs_ },
           .budget_ = aPlan.budget_,
           .deadlineMs_ = aPlan.deadlines_.attemptMs_,
           .startMs_ = aPlan.startMs_ };
}

ResponseRelayOptions
RelayOptionsOf(const ForwardPlan& aPlan)
{
  const auto& request = aPlan.request_;
  return { .isStream_ = aPlan.route_.type_ == model::RouteType::kStreaming,
           .resumable_ = aPlan.route_.resumable_,
           .lastEventId_ = request.lastEventId_,
           .promptTokens_ = request.promptTokens_.value_or(0),
           .maxOutputTokens_ = request.maxOutputTokens_,
           .tokensPerEvent_ = aPlan.tokensPerEvent_ };
}

int64_t
RetryAfterMsOf(const ForwardPlan& aPlan,
               const Dispatcher& aDispatcher,
               model::ErrorKind aKind)
{
  if (NeedsTopUp(aKind)) {
    return kTopUpRetryAfterMs;
  }
  const int64_t now = transport::EventLoop::NowMs();
  const int64_t backoffUntilMs =
    aDispatcher.BackoffUntilMs(aPlan.service_).value_or(now);
  return backoffUntilMs - now + aPlan.retryAfterMs_(aKind);
}

} // namespace cactuswick::router

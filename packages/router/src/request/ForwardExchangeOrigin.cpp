// ForwardExchange: streams stay at the software version that began them.

#include <utility>

#include "request/ForwardExchange.h"

namespace cactuswick::router {

using transport::EventLoop;

void
ForwardExchange::FindOrigin()
{
  dependencies_.origins_.Find(
    plan_.id_,
    StreamQueryOf(plan_),
    [this](std::optional<model::StreamOrigin> aOrigin) {
      OnOriginFound(std::move(aOrigin));
    },
    EventLoop::NowMs());
}

void
ForwardExchange::OnOriginFound(std::optional<model::StreamOrigin> aOrigin)
{
  if (!aOrigin) {
    dependencies_.metrics_.Count(telemetry::Counter::kOriginsUnknown);
    Fail(OriginUnknownError());
    return;
  }
  origin_ = std::move(aOrigin);
  if (origin_->service_ != plan_.service_) {
    const absl::Status status = plan_.moveTo_(plan_, origin_->service_);
    if (!status.ok()) {
      Fail(status);
      return;
    }
    relay_ = ResponseRelay(RelayOptionsOf(plan_));
  }
  if (!FailIfVersionGone()) {
    Admit();
  }
}

void
ForwardExchange::RecordOrigin()
{
  if (!IsResumableStream(plan_)) {
    return;
  }
  const auto origin = origin_.value_or(model::StreamOrigin{
    plan_.service_, attempts_.Endpoint().softwareVersion_ });
  // A replica of an earlier release may have dropped the endpoint's version.
  const bool isVersionKnown =
    !origin.softwareVersion_.empty() ||
    dependencies_.dispatcher_.Endpoints().Admitted().Knows(origin.service_);
  if (!isVersionKnown) {
    return;
  }
  origin_ = origin;
  dependencies_.origins_.OnBegan(
    StreamKeyOf(plan_), *origin_, EventLoop::NowMs());
}

bool
ForwardExchange::FailIfVersionGone()
{
  const Dispatcher& dispatcher = dependencies_.dispatcher_;
  // If no endpoint serves at all, the version may come back.
  if (!origin_ || dispatcher.ServesAt(*origin_) ||
      !dispatcher.Serves(origin_->service_)) {
    return false;
  }
  Fail(VersionGoneError(*origin_));
  return true;
}

} // namespace cactuswick::router

// ForwardExchange: prompt parts that crash endpoints.

#include "request/ForwardExchange.h"

#include <utility>

namespace cactuswick::router {

using routing::AttemptOutcome;

void
ForwardExchange::RequestProbe()
{
  dependencies_.quarantine_.RequestProbe(
    plan_.probedPart_, plan_.id_, [this](bool aGranted) {
      isProbe_ = aGranted;
      if (!FailIfQuarantined()) {
        Reserve();
      }
    });
}

void
ForwardExchange::RecordAnswer()
{
  if (!std::exchange(answered_, true)) {
    dependencies_.quarantine_.OnAnswered(plan_.prompt_);
  }
}

void
ForwardExchange::RecordBreak()
{
  // A partition or the router between may have broken the connection.
  const bool isEndpointsOwn = !tunnel_ && !dependencies_.path_.IsInDoubt();
  if (!answered_ && isEndpointsOwn) {
    brokeUnanswered_ = true;
    dependencies_.quarantine_.OnBroken(
      attempts_.Endpoint(), plan_.prompt_, relay_.Head().IsSuccess());
  }
}

bool
ForwardExchange::FailIfQuarantined()
{
  model::SharedPrompt prompt = plan_.prompt_;
  if (isProbe_) {
    std::erase(prompt.parts_, plan_.probedPart_);
  }
  quarantinedPart_ = dependencies_.quarantine_.Find(prompt);
  if (!quarantinedPart_) {
    return false;
  }
  MarkMayHaveRunIfSent();
  LeaveEndpoint(AttemptOutcome::kNeutral, "quarantined");
  Fail(QuarantineError(quarantinedPart_->part_));
  return true;
}

void
ForwardExchange::OnQuarantined()
{
  const bool isResponding = call_ && relay_.Head().status_ != 0;
  const bool awaitsProbe = !plan_.probedPart_.empty() && !isProbe_;
  if (!ended_ && !isResponding && !awaitsProbe) {
    FailIfQuarantined();
  }
}

} // namespace cactuswick::router

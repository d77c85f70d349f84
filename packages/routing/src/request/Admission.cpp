#include "cactuswick/routing/request/Admission.h"

#include "cactuswick/model/process/Error.h"
#include "cactuswick/model/process/Text.h"

namespace cactuswick::routing {

absl::Status
Admit(const AdmissionInput& aInput)
{
  using model::ErrorKind;
  using model::MakeError;
  if (!aInput.hasEndpoint_) {
    return MakeError(ErrorKind::kNoEndpoint,
                     "model",
                     "no available endpoint serves this model or service");
  }
  if (!aInput.hasSettlementPath_) {
    return MakeError(
      ErrorKind::kNoSettlementPath,
      "",
      "this router is connected to neither control nor other routers");
  }
  if (aInput.queued_ >= aInput.queueLimit_ ||
      aInput.inFlight_ >= aInput.inFlightLimit_ ||
      aInput.workspaceInFlight_ >= aInput.workspaceLimit_) {
    return MakeError(
      ErrorKind::kQueueFull, "", "too many requests are queued or in flight");
  }
  if (aInput.nowMs_ + aInput.expectedWaitMs_ > aInput.deadlineMs_) {
    return MakeError(
      ErrorKind::kDeadlineUnreachable,
      "",
      model::Concat("the expected wait is ", aInput.expectedWaitMs_, " ms"));
  }
  return absl::OkStatus();
}

} // namespace cactuswick::routing

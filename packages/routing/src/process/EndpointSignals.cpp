#include "cactuswick/routing/process/EndpointSignals.h"

#include <algorithm>

namespace cactuswick::routing {

SignalEffect
EndpointSignals::Apply(int64_t aIncarnation,
                       const ResponseSignals& aSignals,
                       int64_t aNowMs)
{
  if (aIncarnation < incarnation_) {
    return SignalEffect::kNone;
  }
  if (aIncarnation > incarnation_) {
    *this = {};
    incarnation_ = aIncarnation;
  }
  const bool wasLeaving = leaving_;
  const bool wasBackingOff = IsBackingOff(aIncarnation, aNowMs);
  leaving_ |= aSignals.leaving_;
  if (aSignals.backoffMs_ > 0) {
    backoffUntilMs_ = std::max(
      backoffUntilMs_, aNowMs + std::min(aSignals.backoffMs_, kMaxBackoffMs));
  }
  if (leaving_ && !wasLeaving) {
    return SignalEffect::kLeaves;
  }
  return !wasBackingOff && IsBackingOff(aIncarnation, aNowMs)
           ? SignalEffect::kBacksOff
           : SignalEffect::kNone;
}

bool
EndpointSignals::IsLeaving(int64_t aIncarnation) const
{
  return leaving_ && aIncarnation <= incarnation_;
}

bool
EndpointSignals::IsBackingOff(int64_t aIncarnation, int64_t aNowMs) const
{
  return aNowMs < BackoffUntilMs(aIncarnation);
}

int64_t
EndpointSignals::BackoffUntilMs(int64_t aIncarnation) const
{
  return aIncarnation == incarnation_ ? backoffUntilMs_ : 0;
}

} // namespace cactuswick::routing

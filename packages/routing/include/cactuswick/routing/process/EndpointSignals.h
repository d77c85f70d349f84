#pragma once

#include <cstdint>

namespace cactuswick::routing {

/// Longest time for which an endpoint's request to back off is followed, in
/// milliseconds; a longer one is cut to it.
inline constexpr int64_t kMaxBackoffMs = 60'000;

/// What one response says about the endpoint that sent it.
struct ResponseSignals
{
  /// The endpoint is about to stop and takes no new requests.
  bool leaving_ = false;
  /// Time for which the endpoint wants no requests from this router, in
  /// milliseconds; 0 for none.
  int64_t backoffMs_ = 0;

  bool operator==(const ResponseSignals&) const = default;
};

/// How the signals of a response change the use of an endpoint.
enum class SignalEffect
{
  kNone,
  /// The endpoint gets no requests for a time.
  kBacksOff,
  /// This incarnation of the endpoint gets no more requests.
  kLeaves,
};

/// Signals in the responses of one endpoint so far; those of its newest
/// incarnation apply. For endpoints that are overloaded or about to stop and
/// say so in responses before any announcement reaches the router. Has neither
/// I/O nor a clock.
class EndpointSignals
{
public:
  /// Applies the signals of a response that was received at @p aNowMs from
  /// @p aIncarnation. Those of an older incarnation are ignored; of several
  /// backoffs, the one that ends last applies.
  SignalEffect Apply(int64_t aIncarnation,
                     const ResponseSignals& aSignals,
                     int64_t aNowMs);

  /// Returns whether this incarnation said that it is leaving.
  bool IsLeaving(int64_t aIncarnation) const;

  /// Returns whether this incarnation wants no requests at @p aNowMs.
  bool IsBackingOff(int64_t aIncarnation, int64_t aNowMs) const;

  /// Returns when this incarnation's backoff ends, in milliseconds; 0
  /// if it had none.
  int64_t BackoffUntilMs(int64_t aIncarnation) const;

  bool operator==(const EndpointSignals&) const = default;

private:
  int64_t incarnation_ = 0;
  int64_t backoffUntilMs_ = 0;
  bool leaving_ = false;
};

} // namespace cactuswick::routing

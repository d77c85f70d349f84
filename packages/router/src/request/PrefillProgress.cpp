#include "request/PrefillProgress.h"

#include <utility>

namespace cactuswick::router {

namespace {

using telemetry::Summary;
using transport::EventLoop;

/// An attempt counts as a long one in the metrics if its endpoint has to
/// process at least this many prompt tokens.
constexpr ledger::Tokens kLongPrefillTokens = 2'048;

} // namespace

void
PrefillProgress::Begin(ledger::Tokens aTokens)
{
  pending_ = aTokens;
  lastExpected_ = aTokens;
}

void
PrefillProgress::OnEvent(const Attempts& aAttempts)
{
  if (pending_ == 0) {
    return;
  }
  metrics_.Observe(pending_ >= kLongPrefillTokens ? Summary::kFirstEventLongMs
                                                  : Summary::kFirstEventShortMs,
                   static_cast<double>(aAttempts.TimeAtEndpointMs()));
  End(aAttempts);
}

void
PrefillProgress::End(const Attempts& aAttempts)
{
  if (const auto tokens = std::exchange(pending_, 0)) {
    dispatcher_.Endpoints().OnPrefill(aAttempts.Endpoint().endpoint_,
                                      tokens,
                                      aAttempts.TimeAtEndpointMs(),
                                      EventLoop::NowMs());
  }
}

} // namespace cactuswick::router

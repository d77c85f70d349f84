#pragma once

#include <string>

#include "cactuswick/telemetry/process/Metrics.h"
#include "process/Dispatcher.h"
#include "request/Attempts.h"

namespace cactuswick::router {

/// The prompt tokens that the endpoint of a request's attempt has to process
/// (prefill). The dispatcher counts them as the endpoint's backlog until the
/// attempt's first event or its end.
class PrefillProgress
{
public:
  PrefillProgress(Dispatcher& aDispatcher, telemetry::Metrics& aMetrics)
    : dispatcher_(aDispatcher)
    , metrics_(aMetrics)
  {
  }

  /// Begins an attempt at an endpoint that is expected to process @p aTokens.
  void Begin(ledger::Tokens aTokens);
  /// Records the time to the first event in the metrics and ends the backlog.
  /// Does nothing for later events of the attempt.
  void OnEvent(const Attempts& aAttempts);
  /// Ends the backlog if there was no event.
  void End(const Attempts& aAttempts);

  /// Returns what the last endpoint was expected to process, for the log.
  ledger::Tokens LastExpectedTokens() const { return lastExpected_; }

private:
  Dispatcher& dispatcher_;
  telemetry::Metrics& metrics_;
  /// Tokens that count as the endpoint's backlog.
  ledger::Tokens pending_ = 0;
  ledger::Tokens lastExpected_ = 0;
};

} // namespace cactuswick::router

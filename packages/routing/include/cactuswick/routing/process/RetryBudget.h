#pragma once

namespace cactuswick::routing {

struct RetryBudgetOptions
{
  /// Retries allowed per request in the long run.
  double ratio_ = 0.1;
  /// Retries that may be saved up.
  double capacity_ = 20;
};

/// Bounds retries to a share of requests, so that they never multiply a
/// failure.
class RetryBudget
{
public:
  explicit RetryBudget(RetryBudgetOptions aOptions = {});

  void OnRequest();
  /// Takes one retry; false when none is left.
  bool TryTake();

private:
  RetryBudgetOptions options_;
  double saved_;
};

} // namespace cactuswick::routing

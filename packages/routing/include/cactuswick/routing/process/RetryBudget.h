#pragma once

namespace cactuswick::routing {

struct RetryBudgetOptions
{
  /// Retries allowed per request on average.
  double ratio_ = 0.1;
  /// Maximum burst of retries.
  double capacity_ = 20;
};

/// Token bucket that limits retries to a share of the requests, so that they
/// don't amplify a failure.
class RetryBudget
{
public:
  explicit RetryBudget(RetryBudgetOptions aOptions = {});

  /// Adds the share of a retry that a request earns.
  void OnRequest();
  /// Takes one retry; returns false when none is available.
  bool TryTake();

private:
  RetryBudgetOptions options_;
  double available_;
};

} // namespace cactuswick::routing

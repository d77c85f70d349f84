#pragma once

#include <functional>
#include <set>
#include <string>

#include "cactuswick/routing/process/GrantTable.h"
#include "process/ControlClient.h"

namespace cactuswick::router {

struct GrantPrefetcherOptions
{
  ControlClient& control_;
  routing::GrantTable& grants_;
  /// Returns the tokens of a budget that will be free once other requests for
  /// it are answered.
  std::function<ledger::Tokens(const std::string& aBudget)> expectedSurplus_;
  /// Called after the reply to a prefetch has been entered in the grants.
  std::function<void(const std::string& aBudget)> onReply_;
};

/// Requests grants before reservations need them, one request for each budget
/// at a time.
class GrantPrefetcher
{
public:
  explicit GrantPrefetcher(GrantPrefetcherOptions aOptions);

  /// Requests what is missing for the recent use of a budget, if anything is.
  void Refill(const std::string& aBudget);
  /// As Refill, for all budgets.
  void RefillAll();
  /// Requests @p aWant tokens of a budget of which this router has no grant.
  void RequestFirst(const std::string& aBudget, ledger::Tokens aWant);

  bool IsPending(const std::string& aBudget) const
  {
    return pending_.contains(aBudget);
  }

private:
  void Submit(const ledger::AcquireGrant& aRequest);
  void OnReply(const std::string& aBudget, ledger::Tokens aGranted);

  GrantPrefetcherOptions options_;
  /// Budgets with a request that control has not answered yet.
  std::set<std::string> pending_;
};

} // namespace cactuswick::router

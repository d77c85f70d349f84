#pragma once

#include <functional>
#include <string>
#include <vector>

#include "request/RequestRecord.h"

namespace cactuswick::router {

/// The status of a request that nobody could take in time.
absl::Status
DeadlinePassed();

/// The attempts of one request: its place in the queue, the endpoint that it
/// is at, and whether it may be tried elsewhere.
class Attempts
{
public:
  struct Hooks
  {
    /// The request has a slot at this endpoint.
    std::function<void(const model::Announcement&)> onPlaced_;
    /// It has waited for longer than is of use.
    std::function<void()> onExpired_;
  };

  Attempts(RouterServices& aServices, RequestRecord& aRecord);

  /// Queues for an endpoint that serves @p aServes and did not fail before.
  void Enqueue(const std::string& aServes,
               ledger::Tokens aCost,
               uint64_t aPrefixHash,
               const Hooks& aHooks);
  /// Leaves the queue; hooks are not called.
  void Cancel();
  /// Gives the slot back, if there is one.
  void Leave(routing::AttemptOutcome aOutcome);
  /// Leaves after a failure. Returns true when another attempt may be made
  /// and is paid from the retry budget; @p aSafe says that it cannot harm.
  bool Fail(bool aSafe);

  bool IsAtEndpoint() const { return atEndpoint_; }
  const model::Announcement& Endpoint() const { return endpoint_; }

  /// Notes that an attempt was dispatched and its end is not known.
  void NoteMayHaveRun() { mayHaveRun_ = true; }
  bool MayHaveRun() const { return mayHaveRun_; }

private:
  RouterServices& services_;
  RequestRecord& record_;
  std::string serves_;
  model::Announcement endpoint_;
  std::vector<std::string> failed_;
  bool atEndpoint_ = false;
  bool mayHaveRun_ = false;
};

} // namespace cactuswick::router

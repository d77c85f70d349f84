#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cactuswick/routing/process/EndpointTable.h"
#include "cactuswick/routing/process/RetryBudget.h"
#include "cactuswick/routing/process/ThroughputMeter.h"
#include "cactuswick/routing/request/FairQueue.h"
#include "cactuswick/transport/process/EventLoop.h"

namespace cactuswick::router {

/// A request for an endpoint.
struct DispatchRequest
{
  routing::QueuedRequest queued_;
  /// Model or service that it needs.
  std::string serves_;
  /// Hash of the prompt's beginning; 0 when placement need not care.
  uint64_t prefixHash_ = 0;
  /// Set where an engine has to read a prompt; goes before prefixHash_.
  std::optional<routing::PromptLoad> prompt_;
  /// Endpoints that failed it before.
  std::vector<std::string> excluded_;
  /// Called with the endpoint's announcement once it has a slot, and with the
  /// prompt tokens that it is expected to read.
  std::function<void(const model::Announcement&, ledger::Tokens)> onPlaced_;
  /// Called when its deadline passes first.
  std::function<void()> onExpired_;
};

/// Queues requests per model or service and places them at endpoints.
class Dispatcher
{
public:
  Dispatcher(transport::EventLoop& aLoop,
             routing::EndpointTableOptions aOptions);

  void Enqueue(DispatchRequest aRequest);
  /// Takes a request out of the queue; its hooks are not called.
  void Cancel(routing::RequestId aId);

  /// Gives back an endpoint's slot.
  void Release(const std::string& aServes,
               const std::string& aEndpoint,
               routing::AttemptOutcome aOutcome);
  /// Corrects fairness and throughput by the actual cost.
  void OnFinished(const std::string& aServes,
                  const routing::QueuedRequest& aRequest,
                  ledger::Tokens aActual);
  void OnFirstToken(const std::string& aEndpoint, int64_t aElapsedMs);

  /// Takes an announcement; true when other routers should hear it at once.
  bool Hear(const model::Announcement& aAnnouncement, int64_t aAgeMs);

  bool Serves(const std::string& aServes) const;
  /// Requests queued there of this priority or a more urgent one.
  int64_t QueuedAtOrAbove(const std::string& aServes, int64_t aPriority) const;
  size_t Queued() const { return requests_.size(); }
  /// Expected wait of a new request, in milliseconds.
  int64_t ExpectedWaitMs(const std::string& aServes,
                         const routing::QueuedRequest& aRequest) const;

  routing::EndpointTable& Endpoints() { return endpoints_; }
  routing::RetryBudget& Retries() { return retries_; }

private:
  struct ServiceQueue
  {
    routing::FairQueue queue_;
    routing::ThroughputMeter meter_;
  };

  void OnTick();
  void ScheduleDispatch(const std::string& aServes);
  void DispatchQueued(const std::string& aServes);
  bool PlaceNext(const std::string& aServes, ServiceQueue& aServiceQueue);
  std::optional<routing::PromptPlace> Acquire(
    const DispatchRequest& aRequest,
    const std::vector<std::string>& aExcluded,
    int64_t aNowMs);

  transport::EventLoop& loop_;
  routing::EndpointTable endpoints_;
  routing::RetryBudget retries_;
  std::map<std::string, ServiceQueue> serviceQueues_;
  std::map<routing::RequestId, DispatchRequest> requests_;
  transport::Timer tick_;
};

} // namespace cactuswick::router

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cactuswick/routing/process/EndpointTable.h"
#include "cactuswick/routing/process/RetryBudget.h"
#include "cactuswick/routing/process/ThroughputMeter.h"
#include "cactuswick/routing/request/FairQueue.h"
#include "cactuswick/transport/process/EventLoop.h"

namespace cactuswick::router {

/// Request that waits for an endpoint.
struct DispatchRequest
{
  routing::QueuedRequest queued_;
  /// Model or service that the endpoint must serve.
  std::string serves_;
  /// Hash of the prompt prefix, for cache affinity; 0 if placement can ignore
  /// it.
  uint64_t prefixHash_ = 0;
  /// Set if an engine has to read a prompt; takes precedence over
  /// @c prefixHash_.
  std::optional<routing::PromptLoad> prompt_;
  /// Endpoints at which earlier attempts failed.
  std::vector<std::string> excluded_;
  /// Set if only endpoints of this software version may serve the request.
  std::optional<std::string> softwareVersion_;
  /// Called once an endpoint has a free slot, with its announcement and the
  /// prompt tokens that it is expected to read.
  std::function<void(const model::Announcement&, ledger::Tokens)> onPlaced_;
  /// Called if the deadline passes before the request is placed.
  std::function<void()> onExpired_;
  /// Called instead if operators evacuate all endpoints that could serve the
  /// request; if not set, the request waits on.
  std::function<void()> onEvacuated_;
};

/// Queues requests per model or service and places them at endpoints.
class Dispatcher
{
public:
  Dispatcher(transport::EventLoop& aLoop,
             routing::EndpointTableOptions aOptions);

  void Enqueue(DispatchRequest aRequest);
  /// Removes a request from the queue without calling its hooks.
  void Cancel(routing::RequestId aId);

  /// Frees a slot of an endpoint.
  void Release(const std::string& aServes,
               const std::string& aEndpoint,
               routing::AttemptOutcome aOutcome);
  /// Corrects the fairness accounting by the actual cost and records the
  /// throughput.
  void OnFinished(const std::string& aServes,
                  const routing::QueuedRequest& aRequest,
                  ledger::Tokens aActual);
  void OnFirstToken(const std::string& aEndpoint, int64_t aElapsedMs);

  /// Applies an announcement; returns true if it is to be broadcast to the
  /// other routers at once.
  bool ApplyAnnouncement(const model::Announcement& aAnnouncement,
                         int64_t aAgeMs);

  /// Takes an incarnation of an endpoint out of use permanently.
  void Retire(const std::string& aEndpoint, int64_t aIncarnation);
  /// Takes an incarnation of an endpoint out of use until it announces itself
  /// again.
  void MarkLost(const std::string& aEndpoint, int64_t aIncarnation);
  /// Applies the signals of an endpoint's response.
  routing::SignalEffect OnSignals(const model::Announcement& aEndpoint,
                                  const routing::ResponseSignals& aSignals);
  /// Sets the hook that is called soon after an endpoint has stopped taking
  /// requests.
  void SetEndpointsStoppedHook(std::function<void()> aHook);
  /// Returns whether a request that was placed at an endpoint at @p aPlacedMs
  /// may still be sent: the endpoint takes requests and has not become cold
  /// since.
  bool TakesRequests(const model::Announcement& aEndpoint,
                     const std::string& aServes,
                     int64_t aPlacedMs) const;
  /// Records that a request that was placed at @p aPlacedMs has been sent.
  void OnSent(const model::Announcement& aEndpoint, int64_t aPlacedMs);
  /// Returns when the first endpoint takes requests again if all asked to back
  /// off; nullopt otherwise.
  std::optional<int64_t> BackoffUntilMs(const std::string& aServes) const;
  /// Excludes the endpoints of these failure domains from new requests.
  /// Requests that no endpoint can serve any more get @c onEvacuated_ soon
  /// after.
  void SetEvacuations(routing::Evacuations aEvacuations);

  /// Sets the software versions whose endpoints get requests.
  void SetAdmittedVersions(routing::AdmittedVersions aVersions);

  bool Serves(const std::string& aServes) const;
  /// Returns whether any endpoint of a service and software version may get
  /// requests.
  bool ServesAt(const model::StreamOrigin& aOrigin) const;
  /// Returns whether only evacuations prevent a service from being served.
  bool IsEvacuated(const std::string& aServes) const;
  /// Returns the number of queued requests of this priority or a more urgent
  /// one.
  int64_t QueuedAtOrAbove(const std::string& aServes, int64_t aPriority) const;
  size_t Queued() const { return requests_.size(); }
  /// Returns the expected wait of a new request, in milliseconds.
  int64_t ExpectedWaitMs(const std::string& aServes,
                         const routing::QueuedRequest& aRequest) const;

  routing::EndpointTable& Endpoints() { return endpoints_; }
  const routing::EndpointTable& Endpoints() const { return endpoints_; }
  routing::RetryBudget& Retries() { return retries_; }

private:
  struct ServiceQueue
  {
    routing::FairQueue queue_;
    routing::ThroughputMeter meter_;
  };

  void OnTick();
  void ScheduleEndpointsStopped();
  /// Ends the waiting requests of services whose endpoints are all evacuated.
  void EndEvacuated(int64_t aNowMs);
  void ScheduleDispatch(const std::string& aServes);
  void DispatchQueued(const std::string& aServes);
  /// Requests that could not be placed in one pass through a queue.
  struct Unplaced
  {
    std::vector<routing::QueuedRequest> requests_;
    /// Software versions of which no endpoint has a free slot.
    std::set<std::string> busyVersions_;
  };
  /// Places the request whose turn it is, or moves it to @p aUnplaced if no
  /// endpoint of its software version has a free slot. Returns false if no
  /// endpoint has.
  bool PlaceNext(const std::string& aServes,
                 ServiceQueue& aServiceQueue,
                 Unplaced& aUnplaced);
  /// Chooses an endpoint, also one at which an earlier attempt failed if no
  /// other has a free slot.
  std::optional<routing::PromptPlacement> Choose(
    const DispatchRequest& aRequest,
    int64_t aNowMs);
  std::optional<routing::PromptPlacement> Acquire(
    const DispatchRequest& aRequest,
    const std::vector<std::string>& aExcluded,
    int64_t aNowMs);

  transport::EventLoop& loop_;
  routing::EndpointTable endpoints_;
  routing::RetryBudget retries_;
  std::map<std::string, ServiceQueue> serviceQueues_;
  std::map<routing::RequestId, DispatchRequest> requests_;
  transport::Timer tick_;
  std::function<void()> onEndpointsStopped_;
  bool endpointsStoppedScheduled_ = false;
};

} // namespace cactuswick::router

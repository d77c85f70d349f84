#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "process/ControlClient.h"
#include "process/EndpointCalls.h"
#include "version/ConfigView.h"

namespace cactuswick::router {

struct OrderRunnerOptions
{
  ControlClient& control_;
  const ConfigView& config_;
  /// Endpoints that announce themselves to this router.
  std::function<std::vector<model::Announcement>()> endpoints_;
};

/// Sends declared orders to the endpoints that announce themselves here.
///
/// The ledger lets one router at a time begin an order, and never an older
/// order after a newer one. Endpoints that check fencing numbers reject stale
/// orders; to protect the others, a router drops an order that it could not
/// send promptly.
class OrderRunner
{
public:
  OrderRunner(transport::EventLoop& aLoop, OrderRunnerOptions aOptions);

private:
  struct Running
  {
    int64_t fence_ = 0;
    int64_t requestedMs_ = 0;
  };

  void OnTick();
  void Begin(const model::Announcement& aEndpoint, int64_t aFence);
  void OnBeginResult(const model::Announcement& aEndpoint,
                     const ledger::OrderResult& aResult);
  void Send(const model::Announcement& aEndpoint);
  void OnResponse(const std::string& aEndpoint,
                  const absl::Status& aStatus,
                  int aHttpStatus);
  void End(const std::string& aEndpoint, ledger::OrderState aState);

  OrderRunnerOptions options_;
  EndpointCalls calls_;
  std::map<std::string, Running> running_;
  /// Fencing number of the last order that needs no further attempt, by
  /// endpoint.
  std::map<std::string, int64_t> finishedFences_;
  transport::Timer tick_;
};

} // namespace cactuswick::router

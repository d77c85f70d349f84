#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "cactuswick/model/version/Announcement.h"
#include "cactuswick/transport/connection/HttpCall.h"
#include "process/ControlClient.h"
#include "version/ConfigView.h"

namespace cactuswick::router {

struct OrderRunnerOptions
{
  ControlClient& control_;
  const ConfigView& config_;
  /// Endpoints that announce themselves to this router.
  std::function<std::vector<model::Announcement>()> endpoints_;
};

/// Gives declared orders to the endpoints that announce themselves here.
///
/// The ledger lets one router at a time begin an order and never an older one
/// after a newer one. Endpoints that check fencing numbers are safe by them;
/// for the others a router drops an order that it could not send at once.
class OrderRunner
{
public:
  OrderRunner(transport::EventLoop& aLoop, OrderRunnerOptions aOptions);

private:
  struct Running
  {
    int64_t fence_ = 0;
    int64_t askedMs_ = 0;
    int httpStatus_ = 0;
    std::unique_ptr<transport::HttpCall> call_;
  };

  void OnTick();
  void Begin(const model::Announcement& aEndpoint, int64_t aFence);
  void OnBegun(const model::Announcement& aEndpoint,
               const ledger::OrderResult& aResult);
  void Give(const model::Announcement& aEndpoint);
  void OnGiven(const std::string& aEndpoint, const absl::Status& aStatus);
  void End(const std::string& aEndpoint, ledger::OrderState aState);

  transport::EventLoop& loop_;
  OrderRunnerOptions options_;
  std::map<std::string, Running> running_;
  /// Fencing numbers of orders that need no more asking.
  std::map<std::string, int64_t> settled_;
  transport::Timer tick_;
};

} // namespace cactuswick::router

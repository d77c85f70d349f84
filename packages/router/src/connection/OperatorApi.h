#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "cactuswick/telemetry/process/BurnTable.h"
#include "cactuswick/transport/connection/HttpExchange.h"
#include "process/ControlClient.h"
#include "version/ConfigView.h"

namespace cactuswick::router {

struct OperatorApiOptions
{
  transport::EventLoop& loop_;
  ControlClient& control_;
  const ConfigView& config_;
  telemetry::BurnTable& burn_;
  /// SHA-256 of the operators' key; if empty, the API is disabled.
  std::string keySha256_;
  std::function<void()> onDrain_;
};

/// HTTP API for operators. Changes and queries are forwarded to the control
/// leader.
class OperatorApi
{
public:
  explicit OperatorApi(OperatorApiOptions aOptions);

  /// Handles a request whose path belongs to this API; returns any other
  /// request.
  std::unique_ptr<transport::HttpExchange> Handle(
    std::unique_ptr<transport::HttpExchange> aExchange);

  /// Replies to the watchers that wait for the current revision.
  void OnConfig();

private:
  using Exchange = std::shared_ptr<transport::HttpExchange>;

  void Route(const Exchange& aExchange, std::string_view aPath);
  void HandleResource(const Exchange& aExchange, std::string_view aKey);
  void Apply(const Exchange& aExchange, std::string_view aKey);
  void Delete(const Exchange& aExchange, std::string_view aKey);
  void List(const Exchange& aExchange, std::string_view aKey);
  void HandleCommand(const Exchange& aExchange,
                     absl::StatusOr<ledger::Command> aCommand);
  void HandleReplica(const Exchange& aExchange, std::string_view aId);
  void HandleStatus(const Exchange& aExchange);
  void HandleWatch(const Exchange& aExchange);
  void ExpireWatchers();

  struct Watcher
  {
    Exchange exchange_;
    int64_t since_ = 0;
    int64_t deadlineMs_ = 0;
  };

  OperatorApiOptions options_;
  std::vector<Watcher> watchers_;
  transport::Timer tick_;
};

} // namespace cactuswick::router

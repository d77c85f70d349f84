#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "cactuswick/model/version/Announcement.h"
#include "cactuswick/transport/connection/HttpCall.h"

namespace cactuswick::router {

/// A short call that the router makes to an endpoint on its own account.
struct EndpointCall
{
  std::string method_ = "POST";
  std::string path_;
  transport::Headers headers_;
  std::string body_;
};

/// How a call ended: its status, and the status line if the answer is whole.
using EndpointCallHook = std::function<void(const std::string& aEndpoint,
                                            const absl::Status& aStatus,
                                            int aHttpStatus)>;

struct EndpointCallsOptions
{
  /// Longest time to connect, to the first byte, and between bytes.
  int64_t timeoutMs_ = 0;
  /// Called once for each call that was started and not taken back.
  EndpointCallHook onDone_;
};

/// Calls to endpoints, at most one at a time for each.
class EndpointCalls
{
public:
  EndpointCalls(transport::EventLoop& aLoop, EndpointCallsOptions aOptions);

  /// Starts a call; one that still runs for this endpoint is taken back.
  /// Fails on an address that cannot be read.
  absl::Status Start(const model::Announcement& aEndpoint, EndpointCall aCall);

private:
  struct Running
  {
    int httpStatus_ = 0;
    std::unique_ptr<transport::HttpCall> call_;
  };

  void OnDone(const std::string& aEndpoint, const absl::Status& aStatus);

  transport::EventLoop& loop_;
  EndpointCallsOptions options_;
  std::map<std::string, Running> running_;
};

} // namespace cactuswick::router

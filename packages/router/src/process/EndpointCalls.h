#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "cactuswick/model/version/Announcement.h"
#include "cactuswick/transport/connection/HttpCall.h"

namespace cactuswick::router {

/// Short HTTP call that the router itself makes to an endpoint, such as a
/// health check.
struct EndpointCall
{
  std::string method_ = "POST";
  std::string path_;
  transport::Headers headers_;
  std::string body_;
};

/// Result of a call: @p aStatus, and the HTTP status if the response is
/// complete.
using EndpointCallHook = std::function<void(const std::string& aEndpoint,
                                            const absl::Status& aStatus,
                                            int aHttpStatus)>;

struct EndpointCallsOptions
{
  /// Timeout for connecting, for the first byte, and between bytes.
  int64_t timeoutMs_ = 0;
  /// Called once for each call that was started and not cancelled.
  EndpointCallHook onDone_;
};

/// Runs calls to endpoints, at most one at a time per endpoint.
class EndpointCalls
{
public:
  EndpointCalls(transport::EventLoop& aLoop, EndpointCallsOptions aOptions);

  /// Starts a call and cancels one that is still running for this endpoint.
  /// Fails if the endpoint's address is invalid.
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

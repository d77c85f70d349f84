#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "cactuswick/transport/connection/Headers.h"
#include "cactuswick/transport/process/Address.h"

/// The operators' command-line client.
namespace cactuswick::client {

/// Response of the operators' API.
struct ApiResponse
{
  int status_ = 0;
  std::string body_;
};

struct ApiRequest
{
  std::string method_ = "GET";
  std::string path_;
  std::string body_;
  transport::Headers headers_;
};

/// Blocking API client. Tries several routers in order until one answers.
class ApiClient
{
public:
  ApiClient(std::vector<transport::Address> aRouters, std::string aKey);

  /// Sends a request and turns an error response into a typed status. After a
  /// transient error the next router is tried, so that a request may reach two
  /// routers: it must be read-only or carry a request id.
  absl::StatusOr<ApiResponse> Send(const ApiRequest& aRequest);

  /// Sends a read-only request to one server after the other, until one replies
  /// 200; any other status, such as a follower's redirect, counts as a failure.
  absl::StatusOr<ApiResponse> ReadFromAny(const ApiRequest& aRequest);

  /// Sends to one router, without failover.
  absl::StatusOr<ApiResponse> SendTo(const transport::Address& aRouter,
                                     const ApiRequest& aRequest);

  /// Returns the addresses of all serving routers from /v1/entry.
  absl::StatusOr<std::vector<transport::Address>> Routers();

private:
  std::vector<transport::Address> routers_;
  std::string key_;
};

} // namespace cactuswick::client

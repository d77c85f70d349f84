#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "cactuswick/transport/connection/Headers.h"
#include "cactuswick/transport/process/Address.h"

/// The operators' command-line client.
namespace cactuswick::client {

/// An answer of the API.
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

/// Talks to any one of several routers, in turn until one answers.
class ApiClient
{
public:
  ApiClient(std::vector<transport::Address> aRouters, std::string aKey);

  /// Sends a request; an answer that is an error becomes a typed status.
  /// A request without effect or with a request id may reach two routers.
  absl::StatusOr<ApiResponse> Send(const ApiRequest& aRequest);

  /// Sends to one router only.
  absl::StatusOr<ApiResponse> SendTo(const transport::Address& aRouter,
                                     const ApiRequest& aRequest);

  /// Addresses of all routers in service, as the system names them.
  absl::StatusOr<std::vector<transport::Address>> Routers();

private:
  std::vector<transport::Address> routers_;
  std::string key_;
};

} // namespace cactuswick::client

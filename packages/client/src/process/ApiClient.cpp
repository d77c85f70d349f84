#include "process/ApiClient.h"

#include <utility>

#include "cactuswick/model/process/Error.h"
#include "cactuswick/model/process/Json.h"
#include "cactuswick/transport/connection/HttpCall.h"
#include "cactuswick/transport/process/EventLoop.h"

namespace cactuswick::client {

namespace {

using model::ErrorKind;

constexpr int kHttpOk = 200;
constexpr int64_t kConnectTimeoutMs = 1'000;
constexpr int64_t kFirstByteTimeoutMs = 30'000;

absl::Status
ParseError(const ApiResponse& aResponse)
{
  const auto document = model::ParseJson(aResponse.body_);
  const auto pointer = nlohmann::json::json_pointer("/error");
  if (!document.ok() || !document->contains(pointer)) {
    return model::MakeError(
      ErrorKind::kIo, "", "the response has no error object");
  }
  const auto& error = (*document)[pointer];
  const std::string kind = error.value("kind", "");
  const auto& names = EnumNames(static_cast<const ErrorKind*>(nullptr));
  for (size_t i = 0; i < names.size(); ++i) {
    if (names[i] == kind) {
      return model::MakeError(static_cast<ErrorKind>(i),
                              error.value("field", ""),
                              error.value("message", ""));
    }
  }
  return model::MakeError(ErrorKind::kIo, "", kind);
}

} // namespace

ApiClient::ApiClient(std::vector<transport::Address> aRouters, std::string aKey)
  : routers_(std::move(aRouters))
  , key_(std::move(aKey))
{
}

absl::StatusOr<ApiResponse>
ApiClient::SendTo(const transport::Address& aRouter, const ApiRequest& aRequest)
{
  transport::EventLoop loop;
  ApiResponse response;
  absl::Status status;
  transport::HttpCallOptions options{
    .address_ = aRouter,
    .method_ = aRequest.method_,
    .path_ = aRequest.path_,
    .headers_ = aRequest.headers_,
    .body_ = aRequest.body_,
    .connectTimeoutMs_ = kConnectTimeoutMs,
    .firstByteTimeoutMs_ = kFirstByteTimeoutMs,
    .onHeaders_ =
      [&](int aStatus, const transport::Headers&) {
        response.status_ = aStatus;
      },
    .onData_ = [&](std::string_view aData) { response.body_.append(aData); },
    .onDone_ =
      [&](absl::Status aStatus) {
        status = std::move(aStatus);
        loop.Stop();
      }
  };
  options.headers_.push_back({ "Authorization", "Bearer " + key_ });
  {
    const transport::HttpCall call(loop, std::move(options));
    loop.Run();
  }
  // HttpCall defers its own cleanup to the loop; run it.
  loop.Defer([&] { loop.Stop(); });
  loop.Run();
  if (!status.ok()) {
    return status;
  }
  if (response.status_ != kHttpOk) {
    return ParseError(response);
  }
  return response;
}

absl::StatusOr<ApiResponse>
ApiClient::Send(const ApiRequest& aRequest)
{
  absl::Status last =
    model::MakeError(ErrorKind::kIo, "server", "no router address given");
  for (const auto& router : routers_) {
    auto response = SendTo(router, aRequest);
    if (response.ok() ||
        !model::IsTransient(model::KindOf(response.status()))) {
      return response;
    }
    last = response.status();
  }
  return last;
}

absl::StatusOr<ApiResponse>
ApiClient::ReadFromAny(const ApiRequest& aRequest)
{
  absl::Status last =
    model::MakeError(ErrorKind::kIo, "server", "no address given");
  for (const auto& server : routers_) {
    auto response = SendTo(server, aRequest);
    if (response.ok()) {
      return response;
    }
    last = response.status();
  }
  return last;
}

absl::StatusOr<std::vector<transport::Address>>
ApiClient::Routers()
{
  const auto response = Send({ .path_ = "/v1/entry" });
  if (!response.ok()) {
    return response.status();
  }
  const auto document = model::ParseJson(response->body_);
  if (!document.ok()) {
    return document.status();
  }
  std::vector<transport::Address> routers;
  for (const auto& text :
       document->value("addresses", std::vector<std::string>())) {
    const auto address = transport::ParseAddress("addresses", text);
    if (!address.ok()) {
      return address.status();
    }
    routers.push_back(*address);
  }
  return routers;
}

} // namespace cactuswick::client

#include "process/EndpointCalls.h"

#include <utility>

namespace cactuswick::router {

namespace {

/// Maximum response body; only the status is used.
constexpr size_t kMaxAnswerBytes = size_t{ 64 } << 10;

} // namespace

EndpointCalls::EndpointCalls(transport::EventLoop& aLoop,
                             EndpointCallsOptions aOptions)
  : loop_(aLoop)
  , options_(std::move(aOptions))
{
}

absl::Status
EndpointCalls::Start(const model::Announcement& aEndpoint, EndpointCall aCall)
{
  const auto address = transport::ParseAddress("address", aEndpoint.address_);
  if (!address.ok()) {
    return address.status();
  }
  const std::string name = aEndpoint.endpoint_;
  Running& running = running_[name];
  running.httpStatus_ = 0;
  running.call_ = std::make_unique<transport::HttpCall>(
    loop_,
    transport::HttpCallOptions{
      .address_ = *address,
      .method_ = std::move(aCall.method_),
      .path_ = std::move(aCall.path_),
      .headers_ = std::move(aCall.headers_),
      .body_ = std::move(aCall.body_),
      .connectTimeoutMs_ = options_.timeoutMs_,
      .firstByteTimeoutMs_ = options_.timeoutMs_,
      .progressTimeoutMs_ = options_.timeoutMs_,
      .maxBodyBytes_ = kMaxAnswerBytes,
      .onHeaders_ =
        [this, name](int aStatus, const transport::Headers&) {
          running_[name].httpStatus_ = aStatus;
        },
      .onDone_ =
        [this, name](const absl::Status& aStatus) { OnDone(name, aStatus); } });
  return absl::OkStatus();
}

void
EndpointCalls::OnDone(const std::string& aEndpoint, const absl::Status& aStatus)
{
  // Keeps the call alive until the hook returns, as it is still on the stack.
  const auto ended = running_.extract(aEndpoint);
  options_.onDone_(aEndpoint, aStatus, ended.mapped().httpStatus_);
}

} // namespace cactuswick::router

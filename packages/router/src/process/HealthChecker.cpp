#include "process/HealthChecker.h"

#include <utility>

namespace cactuswick::router {

namespace {

constexpr int64_t kIntervalMs = 1'000;
constexpr int64_t kTimeoutMs = 800;
constexpr int64_t kMaxFailures = 2;
constexpr int kHttpOk = 200;

} // namespace

HealthChecker::HealthChecker(transport::EventLoop& aLoop,
                             HealthCheckerOptions aOptions)
  : loop_(aLoop)
  , options_(std::move(aOptions))
  , tick_(aLoop, [this] { OnTick(); })
{
  tick_.StartRepeating(kIntervalMs);
}

void
HealthChecker::OnTick()
{
  const auto endpoints = options_.endpoints_();
  std::map<std::string, Check> kept;
  for (const auto& endpoint : endpoints) {
    kept[endpoint.endpoint_] = std::move(checks_[endpoint.endpoint_]);
  }
  checks_ = std::move(kept);
  for (const auto& endpoint : endpoints) {
    Start(endpoint);
  }
}

void
HealthChecker::Start(const model::Announcement& aEndpoint)
{
  const auto address = transport::ParseAddress("address", aEndpoint.address_);
  const std::string name = aEndpoint.endpoint_;
  if (!address.ok() || aEndpoint.leaving_) {
    return;
  }
  Check& check = checks_[name];
  check.httpStatus_ = 0;
  check.call_ = std::make_unique<transport::HttpCall>(
    loop_,
    transport::HttpCallOptions{
      .address_ = *address,
      .method_ = "GET",
      .path_ = "/health",
      .connectTimeoutMs_ = kTimeoutMs,
      .firstByteTimeoutMs_ = kTimeoutMs,
      .progressTimeoutMs_ = kTimeoutMs,
      .onHeaders_ =
        [this, name](int aStatus, const transport::Headers&) {
          checks_[name].httpStatus_ = aStatus;
        },
      .onDone_ =
        [this, name](const absl::Status& aStatus) { OnDone(name, aStatus); } });
}

void
HealthChecker::OnDone(const std::string& aEndpoint, const absl::Status& aStatus)
{
  Check& check = checks_[aEndpoint];
  const bool healthy = aStatus.ok() && check.httpStatus_ == kHttpOk;
  check.failures_ = healthy ? 0 : check.failures_ + 1;
  if (check.failures_ >= kMaxFailures) {
    options_.onUnhealthy_(aEndpoint);
  }
}

} // namespace cactuswick::router

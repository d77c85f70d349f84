#include "process/Announcer.h"

#include <utility>

#include "cactuswick/model/process/Codec.h"

namespace cactuswick::standin {

namespace {

/// Announcements within one lease.
constexpr int64_t kPerLease = 4;
constexpr int64_t kTimeoutMs = 500;
constexpr int64_t kRetryMs = 50;

} // namespace

Announcer::Announcer(transport::EventLoop& aLoop, AnnouncerOptions aOptions)
  : loop_(aLoop)
  , options_(std::move(aOptions))
  , timer_(aLoop, [this] { Announce(); })
{
  Announce();
}

void
Announcer::Announce()
{
  model::Announcement& announcement = options_.announcement_;
  timer_.StartOnce(announcement.leaseMs_ / kPerLease);
  ++announcement.sequence_;
  announcement.inFlight_ = options_.inFlight_();
  call_ = std::make_unique<transport::HttpCall>(
    loop_,
    transport::HttpCallOptions{
      .address_ = options_.routers_[router_],
      .path_ = "/v1/endpoints",
      .headers_ = { { "Authorization", "Bearer " + options_.key_ } },
      .body_ = model::EncodeJson(announcement),
      .connectTimeoutMs_ = kTimeoutMs,
      .firstByteTimeoutMs_ = kTimeoutMs,
      .onDone_ = [this](const absl::Status& aStatus) {
        if (!aStatus.ok()) {
          router_ = (router_ + 1) % options_.routers_.size();
          timer_.StartOnce(kRetryMs);
        } else if (const auto said = std::exchange(onSaid_, nullptr)) {
          said();
        }
      } });
}

void
Announcer::Leave(std::function<void()> aOnSaid)
{
  options_.announcement_.leaving_ = true;
  onSaid_ = std::move(aOnSaid);
  Announce();
}

void
Announcer::GoSilent()
{
  timer_.Stop();
  call_.reset();
}

} // namespace cactuswick::standin

#include "process/Announcer.h"

#include <utility>

#include "cactuswick/model/process/Codec.h"

namespace cactuswick::standin {

namespace {

/// Number of announcements sent per lease.
constexpr int64_t kAnnouncementsPerLease = 4;
constexpr int64_t kRequestTimeoutMs = 500;
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
  timer_.StartOnce(announcement.leaseMs_ / kAnnouncementsPerLease);
  ++announcement.sequence_;
  announcement.inFlight_ = options_.inFlight_();
  call_ = std::make_unique<transport::HttpCall>(
    loop_,
    transport::HttpCallOptions{
      .address_ = options_.routers_[router_],
      .path_ = "/v1/endpoints",
      .headers_ = { { "Authorization", "Bearer " + options_.key_ } },
      .body_ = model::EncodeJson(announcement),
      .connectTimeoutMs_ = kRequestTimeoutMs,
      .firstByteTimeoutMs_ = kRequestTimeoutMs,
      .onDone_ = [this](const absl::Status& aStatus) {
        if (!aStatus.ok()) {
          router_ = (router_ + 1) % options_.routers_.size();
          timer_.StartOnce(kRetryMs);
        } else if (const auto onAcknowledged =
                     std::exchange(onLeaveAcknowledged_, nullptr)) {
          onAcknowledged();
        }
      } });
}

void
Announcer::Leave(std::function<void()> aOnAcknowledged)
{
  options_.announcement_.leaving_ = true;
  onLeaveAcknowledged_ = std::move(aOnAcknowledged);
  Announce();
}

void
Announcer::StopWithoutLeaving()
{
  timer_.Stop();
  call_.reset();
}

} // namespace cactuswick::standin

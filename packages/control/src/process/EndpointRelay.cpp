#include "process/EndpointRelay.h"

#include <utility>

#include "cactuswick/telemetry/process/Log.h"

namespace cactuswick::control {

namespace {

using model::Concat;
using telemetry::Level;
using telemetry::Log;
using telemetry::Part;

constexpr int64_t kFlushMs = 100;
/// How much older than said an announcement in the list of all may be.
constexpr int64_t kAllKeptMs = 1'000;
/// A replica that has just begun to lead, or that stood still, gives
/// endpoints this long to be heard before it calls any lost.
constexpr int64_t kGraceMs = 6'000;
/// A gap between ticks that says that this process stood still.
constexpr int64_t kStoodStillMs = 800;

std::string
Describe(const model::Announcement& aOne)
{
  return Concat(" incarnation=",
                aOne.incarnation_,
                " sequence=",
                aOne.sequence_,
                " address=",
                aOne.address_);
}

} // namespace

EndpointRelay::EndpointRelay(EndpointRelayOptions aOptions)
  : options_(std::move(aOptions))
{
}

void
EndpointRelay::OnAnnouncement(const model::Announcement& aAnnouncement,
                              int64_t aNowMs)
{
  heardHere_.push_back({ aAnnouncement, 0 });
  Take(heardHere_.back(), aNowMs);
}

void
EndpointRelay::OnGossip(const transport::Gossip& aGossip, int64_t aNowMs)
{
  for (const auto& news : aGossip.endpoints_) {
    Take(news, aNowMs);
  }
}

void
EndpointRelay::Take(const transport::RelayedAnnouncement& aNews, int64_t aNowMs)
{
  const auto& announcement = aNews.announcement_;
  const Hearing hearing = directory_.Hear(announcement, aNews.ageMs_, aNowMs);
  if (hearing == Hearing::kNews) {
    news_.endpoints_.push_back(aNews);
    all_.reset();
    Log(
      Part::kEndpoint,
      Level::kInfo,
      Concat(
        "announced endpoint=", announcement.endpoint_, Describe(announcement)));
  } else if (hearing == Hearing::kStale) {
    Log(Part::kEndpoint,
        Level::kDebug,
        Concat("stale announcement endpoint=",
               announcement.endpoint_,
               Describe(announcement)));
  }
}

void
EndpointRelay::OnRetired(const ledger::RetireEndpoint& aRetired)
{
  directory_.Retire(aRetired.endpoint_, aRetired.incarnation_);
  all_.reset();
  Log(Part::kEndpoint,
      Level::kInfo,
      Concat("leaves endpoint=",
             aRetired.endpoint_,
             " incarnation=",
             aRetired.incarnation_));
}

void
EndpointRelay::OnTick(bool aLeads, int64_t aNowMs)
{
  const bool stoodStill = aNowMs - lastTickMs_ > kStoodStillMs;
  if (stoodStill || (aLeads && !led_)) {
    expireFromMs_ = aNowMs + kGraceMs;
  }
  led_ = aLeads;
  lastTickMs_ = aNowMs;
  if (aLeads) {
    for (auto& lost : directory_.Expire(aNowMs, expireFromMs_)) {
      Log(Part::kEndpoint,
          Level::kWarning,
          Concat("lost endpoint=",
                 lost.endpoint_,
                 " incarnation=",
                 lost.incarnation_,
                 ": not heard for its lease"));
      news_.lost_.push_back(std::move(lost));
      all_.reset();
    }
  }
  if (aNowMs - lastFlushMs_ >= kFlushMs) {
    lastFlushMs_ = aNowMs;
    Flush();
  }
}

void
EndpointRelay::Flush()
{
  if (!heardHere_.empty()) {
    options_.toReplicas_(
      transport::Gossip{ .endpoints_ = std::exchange(heardHere_, {}) });
  }
  const transport::Gossip news = std::exchange(news_, {});
  if (led_ && !(news.endpoints_.empty() && news.lost_.empty())) {
    options_.toRouters_(news);
  }
}

transport::EncodedMessage
EndpointRelay::All(int64_t aNowMs)
{
  if (!all_ || aNowMs - allMadeMs_ >= kAllKeptMs) {
    all_.emplace(transport::Gossip{ .endpoints_ = directory_.All(aNowMs) });
    allMadeMs_ = aNowMs;
  }
  return *all_;
}

} // namespace cactuswick::control

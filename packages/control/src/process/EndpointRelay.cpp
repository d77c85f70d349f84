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
/// Lifetime of the cached encoding of all endpoints. The ages in it are too low
/// by up to this much.
constexpr int64_t kEncodedAllTtlMs = 1'000;
/// Grace period after becoming leader or after a stall of this process, in
/// which no endpoint is declared lost: announcements may still be under way.
constexpr int64_t kExpiryGraceMs = 6'000;
/// A longer gap between ticks counts as a stall of this process.
constexpr int64_t kStallMs = 800;

std::string
Describe(const model::Announcement& aOne)
{
  return Concat(" incarnation=",
                aOne.incarnation_,
                " sequence=",
                aOne.sequence_,
                " address=",
                aOne.address_,
                " version=",
                aOne.softwareVersion_);
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
  localAnnouncements_.push_back({ aAnnouncement, 0 });
  ApplyAnnouncement(localAnnouncements_.back(), aNowMs);
}

void
EndpointRelay::OnGossip(const transport::Gossip& aGossip, int64_t aNowMs)
{
  for (const auto& update : aGossip.endpoints_) {
    ApplyAnnouncement(update, aNowMs);
  }
}

void
EndpointRelay::ApplyAnnouncement(const transport::RelayedAnnouncement& aRelayed,
                                 int64_t aNowMs)
{
  const auto& announcement = aRelayed.announcement_;
  const AnnouncementResult result =
    directory_.ApplyAnnouncement(announcement, aRelayed.ageMs_, aNowMs);
  if (result == AnnouncementResult::kChange) {
    pendingUpdate_.endpoints_.push_back(aRelayed);
    encodedAll_.reset();
    options_.onChanged_();
    Log(
      Part::kEndpoint,
      Level::kInfo,
      Concat(
        "announced endpoint=", announcement.endpoint_, Describe(announcement)));
  } else if (result == AnnouncementResult::kStale) {
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
  encodedAll_.reset();
  Log(Part::kEndpoint,
      Level::kInfo,
      Concat("retired endpoint=",
             aRetired.endpoint_,
             " incarnation=",
             aRetired.incarnation_));
}

void
EndpointRelay::OnTick(bool aIsLeader, int64_t aNowMs)
{
  const bool stalled = aNowMs - lastTickMs_ > kStallMs;
  if (stalled || (aIsLeader && !wasLeader_)) {
    expireFromMs_ = aNowMs + kExpiryGraceMs;
  }
  wasLeader_ = aIsLeader;
  lastTickMs_ = aNowMs;
  if (aIsLeader) {
    for (auto& lost : directory_.Expire(aNowMs, expireFromMs_)) {
      Log(Part::kEndpoint,
          Level::kWarning,
          Concat("lost endpoint=",
                 lost.endpoint_,
                 " incarnation=",
                 lost.incarnation_,
                 ": lease expired"));
      pendingUpdate_.lost_.push_back(std::move(lost));
      encodedAll_.reset();
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
  if (!localAnnouncements_.empty()) {
    options_.sendToReplicas_(transport::Gossip{
      .endpoints_ = std::exchange(localAnnouncements_, {}) });
  }
  const transport::Gossip update = std::exchange(pendingUpdate_, {});
  if (wasLeader_ && !(update.endpoints_.empty() && update.lost_.empty())) {
    options_.sendToRouters_(update);
  }
}

std::set<model::StreamOrigin>
EndpointRelay::Origins() const
{
  std::set<model::StreamOrigin> origins;
  directory_.AddOrigins(origins);
  return origins;
}

transport::EncodedMessage
EndpointRelay::All(int64_t aNowMs)
{
  if (!encodedAll_ || aNowMs - encodedAtMs_ >= kEncodedAllTtlMs) {
    encodedAll_.emplace(
      transport::Gossip{ .endpoints_ = directory_.All(aNowMs) });
    encodedAtMs_ = aNowMs;
  }
  return *encodedAll_;
}

} // namespace cactuswick::control

#include "process/ReplicaLink.h"

#include <algorithm>
#include <utility>

namespace cactuswick::router {

namespace {

/// Timeout of an attempt: two round trips over a link whose queue holds one
/// second of data.
constexpr int64_t kAttemptTimeoutMs = 2'500;

} // namespace

ReplicaLink::ReplicaLink(transport::EventLoop& aLoop,
                         ReplicaLinkOptions aOptions)
  : loop_(aLoop)
  , options_(std::move(aOptions))
{
}

void
ReplicaLink::Dial(const transport::Address& aAddress)
{
  if (current_.dialer_ && !IsUp()) {
    earlierAttempts_.push_back(std::move(current_));
  } else {
    earlierAttempts_.clear();
  }
  const AttemptId id = ++lastAttempt_;
  current_ = { .id_ = id, .dialedMs_ = transport::EventLoop::NowMs() };
  current_.dialer_ = std::make_unique<transport::PeerDialer>(
    loop_,
    transport::PeerDialerOptions{
      .address_ = aAddress,
      .from_ = options_.from_,
      .onUp_ = [this, id] { OnAttemptUp(id); },
      .onMessage_ =
        [this, id](transport::PeerMessage aMessage) {
          if (id == current_.id_) {
            options_.onMessage_(std::move(aMessage));
          }
        },
      .onDown_ =
        [this, id] {
          if (id == current_.id_) {
            options_.onDown_();
          }
        } });
}

void
ReplicaLink::OnAttemptUp(AttemptId aAttempt)
{
  if (aAttempt != current_.id_) {
    const auto found =
      std::find_if(earlierAttempts_.begin(),
                   earlierAttempts_.end(),
                   [&](const Attempt& aOne) { return aOne.id_ == aAttempt; });
    // Another attempt connected first; the next tick ends this one.
    if (IsUp() || found == earlierAttempts_.end()) {
      return;
    }
    std::swap(current_, *found);
  }
  options_.onUp_();
}

void
ReplicaLink::OnTick(int64_t aNowMs)
{
  std::erase_if(earlierAttempts_, [&](const Attempt& aOne) {
    return IsUp() || aNowMs - aOne.dialedMs_ > kAttemptTimeoutMs;
  });
}

void
ReplicaLink::Send(const transport::PeerMessage& aMessage)
{
  current_.dialer_->Send(aMessage);
}

bool
ReplicaLink::IsUp() const
{
  return current_.dialer_->IsUp();
}

const transport::Address&
ReplicaLink::Target() const
{
  return current_.dialer_->Target();
}

int64_t
ReplicaLink::DialedMs() const
{
  return current_.dialedMs_;
}

transport::LinkActivity
ReplicaLink::Activity() const
{
  return current_.dialer_->Activity();
}

} // namespace cactuswick::router

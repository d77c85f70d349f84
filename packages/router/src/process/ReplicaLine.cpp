#include "process/ReplicaLine.h"

#include <algorithm>
#include <utility>

namespace cactuswick::router {

namespace {

/// Longest time that an attempt may take: two round trips over a link whose
/// queue holds a second.
constexpr int64_t kAttemptMs = 2'500;

} // namespace

ReplicaLine::ReplicaLine(transport::EventLoop& aLoop,
                         ReplicaLineOptions aOptions)
  : loop_(aLoop)
  , options_(std::move(aOptions))
{
}

void
ReplicaLine::Dial(const transport::Address& aAddress)
{
  if (current_.dialer_ && !IsUp()) {
    earlier_.push_back(std::move(current_));
  } else {
    earlier_.clear();
  }
  const AttemptId id = ++lastAttempt_;
  current_ = { .id_ = id, .sinceMs_ = transport::EventLoop::NowMs() };
  current_.dialer_ = std::make_unique<transport::PeerDialer>(
    loop_,
    transport::PeerDialerOptions{
      .address_ = aAddress,
      .from_ = options_.from_,
      .onUp_ = [this, id] { OnUp(id); },
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
ReplicaLine::OnUp(AttemptId aAttempt)
{
  if (aAttempt != current_.id_) {
    const auto found =
      std::find_if(earlier_.begin(), earlier_.end(), [&](const Attempt& aOne) {
        return aOne.id_ == aAttempt;
      });
    // Another one was up before; the next tick ends this one.
    if (IsUp() || found == earlier_.end()) {
      return;
    }
    std::swap(current_, *found);
  }
  options_.onUp_();
}

void
ReplicaLine::OnTick(int64_t aNowMs)
{
  std::erase_if(earlier_, [&](const Attempt& aOne) {
    return IsUp() || aNowMs - aOne.sinceMs_ > kAttemptMs;
  });
}

void
ReplicaLine::Send(const transport::PeerMessage& aMessage)
{
  current_.dialer_->Send(aMessage);
}

bool
ReplicaLine::IsUp() const
{
  return current_.dialer_->IsUp();
}

const transport::Address&
ReplicaLine::Target() const
{
  return current_.dialer_->Target();
}

int64_t
ReplicaLine::DialedMs() const
{
  return current_.sinceMs_;
}

transport::LinkActivity
ReplicaLine::Activity() const
{
  return current_.dialer_->Activity();
}

} // namespace cactuswick::router

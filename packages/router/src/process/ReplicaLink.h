#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cactuswick/transport/connection/PeerDialer.h"

namespace cactuswick::router {

struct ReplicaLinkOptions
{
  /// Own IP number to connect from.
  std::string from_;
  std::function<void()> onUp_;
  std::function<void(transport::PeerMessage)> onMessage_;
  std::function<void()> onDown_;
};

/// A link to one replica of control out of several.
///
/// Replicas are dialled one after the other, and an attempt goes on while the
/// next one is made: the first that is up becomes the link. So one that is
/// dead costs little time, and a round trip that takes long costs no attempt.
class ReplicaLink
{
public:
  ReplicaLink(transport::EventLoop& aLoop, ReplicaLinkOptions aOptions);

  /// Leaves the current link, if it is up, and dials.
  void Dial(const transport::Address& aAddress);
  /// Ends attempts that took too long or are not needed any more.
  void OnTick(int64_t aNowMs);

  /// Sends on the link; lost while it is not up.
  void Send(const transport::PeerMessage& aMessage);
  bool IsUp() const;
  const transport::Address& Target() const;
  /// When the link, or the newest attempt, was dialled.
  int64_t DialedMs() const;
  transport::LinkActivity Activity() const;

private:
  using AttemptId = int64_t;

  struct Attempt
  {
    AttemptId id_ = 0;
    int64_t dialedMs_ = 0;
    std::unique_ptr<transport::PeerDialer> dialer_;
  };

  void OnAttemptUp(AttemptId aAttempt);

  transport::EventLoop& loop_;
  ReplicaLinkOptions options_;
  AttemptId lastAttempt_ = 0;
  /// The link, or the newest attempt while none is up.
  Attempt current_;
  std::vector<Attempt> earlierAttempts_;
};

} // namespace cactuswick::router

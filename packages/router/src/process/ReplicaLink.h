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
  /// Local IP address for outgoing connections.
  std::string from_;
  std::function<void()> onUp_;
  std::function<void(transport::PeerMessage)> onMessage_;
  std::function<void()> onDown_;
};

/// Link to one of several control replicas.
///
/// Replicas are dialled one after the other, and an attempt continues while the
/// next one is made; the first that connects becomes the link. So a dead
/// replica costs little time, and a long round trip does not abort an attempt.
class ReplicaLink
{
public:
  ReplicaLink(transport::EventLoop& aLoop, ReplicaLinkOptions aOptions);

  /// Closes the current link, if it is up, and dials @p aAddress.
  void Dial(const transport::Address& aAddress);
  /// Ends attempts that have timed out or are no longer needed.
  void OnTick(int64_t aNowMs);

  /// Sends on the link; the message is lost while the link is down.
  void Send(const transport::PeerMessage& aMessage);
  bool IsUp() const;
  const transport::Address& Target() const;
  /// Returns the time at which the link, or the newest attempt, was dialled.
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
  /// The link, or the newest attempt while no link is up.
  Attempt current_;
  std::vector<Attempt> earlierAttempts_;
};

} // namespace cactuswick::router

#include "connection/InputCount.h"

#include <memory>

#include <event2/bufferevent.h>

namespace cactuswick::transport {

namespace {

constexpr ev_ssize_t kUnlimited = EV_RATE_LIMIT_MAX;
/// The bucket is refilled, which resets the count, after each interval.
constexpr timeval kRefillInterval{ .tv_sec = 86'400, .tv_usec = 0 };

struct BucketDeleter
{
  void operator()(ev_token_bucket_cfg* aBucket) const
  {
    ev_token_bucket_cfg_free(aBucket);
  }
};

/// Returns a token bucket too large to run empty; the tokens taken from it are
/// the bytes read.
ev_token_bucket_cfg*
InputCountBucket()
{
  static const std::unique_ptr<ev_token_bucket_cfg, BucketDeleter> kBucket(
    ev_token_bucket_cfg_new(
      kUnlimited, kUnlimited, kUnlimited, kUnlimited, &kRefillInterval));
  return kBucket.get();
}

} // namespace

void
StartInputCount(bufferevent* aStream)
{
  bufferevent_set_rate_limit(aStream, InputCountBucket());
}

size_t
InputCount(bufferevent* aStream)
{
  return static_cast<size_t>(kUnlimited - bufferevent_get_read_limit(aStream));
}

void
ResetInputCount(bufferevent* aStream)
{
  const auto count = static_cast<ev_ssize_t>(InputCount(aStream));
  bufferevent_decrement_read_limit(aStream, -count);
}

} // namespace cactuswick::transport

#include "cactuswick/transport/connection/HttpPool.h"

#include <utility>

#include <event2/bufferevent.h>
#include <event2/http.h>

namespace cactuswick::transport {

namespace {

constexpr int64_t kExpiryCheckMs = 500;

/// evhttp closes the socket of an idle connection when its server closes it.
bool
IsOpen(const HttpConnectionPointer& aConnection)
{
  bufferevent* stream = evhttp_connection_get_bufferevent(aConnection.get());
  return bufferevent_getfd(stream) >= 0;
}

} // namespace

void
HttpConnectionDeleter::operator()(evhttp_connection* aConnection) const
{
  evhttp_connection_free(aConnection);
}

HttpPool::HttpPool(EventLoop& aLoop)
  : expiryTimer_(aLoop, [this] { DropExpired(); })
{
  expiryTimer_.StartRepeating(kExpiryCheckMs);
}

HttpConnectionPointer
HttpPool::Take(const Address& aAddress)
{
  const auto found = idle_.find(aAddress.ToString());
  if (found == idle_.end()) {
    return nullptr;
  }
  auto& list = found->second;
  const int64_t now = EventLoop::NowMs();
  while (!list.empty()) {
    Idle last = std::move(list.back());
    list.pop_back();
    if (now < last.expiresMs_ && IsOpen(last.connection_)) {
      return std::move(last.connection_);
    }
  }
  return nullptr;
}

void
HttpPool::Put(const Address& aAddress,
              HttpConnectionPointer aConnection,
              int64_t aIdleMs)
{
  idle_[aAddress.ToString()].push_back(
    { std::move(aConnection), EventLoop::NowMs() + aIdleMs });
}

void
HttpPool::DropExpired()
{
  const int64_t now = EventLoop::NowMs();
  for (auto& [address, list] : idle_) {
    std::erase_if(list, [now](const Idle& aIdle) {
      return now >= aIdle.expiresMs_ || !IsOpen(aIdle.connection_);
    });
  }
  std::erase_if(idle_, [](const auto& aPair) { return aPair.second.empty(); });
}

} // namespace cactuswick::transport

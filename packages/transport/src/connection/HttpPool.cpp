#include "cactuswick/transport/connection/HttpPool.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include <event2/bufferevent.h>
#include <event2/http.h>

#include "cactuswick/model/process/Hash.h"

namespace cactuswick::transport {

namespace {

constexpr int64_t kExpiryCheckMs = 500;
/// Requests that one connection carries, whose ids are remembered.
constexpr size_t kMaxCarried = 1'000;

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

bool
PooledConnection::HasCarried(const std::string& aRequestId) const
{
  return !aRequestId.empty() &&
         std::find(carried_.begin(),
                   carried_.end(),
                   model::Hash64(aRequestId)) != carried_.end();
}

void
PooledConnection::AddCarried(const std::string& aRequestId)
{
  if (!aRequestId.empty()) {
    carried_.push_back(model::Hash64(aRequestId));
  }
}

HttpPool::HttpPool(EventLoop& aLoop)
  : expiryTimer_(aLoop, [this] { DropExpired(); })
{
  expiryTimer_.StartRepeating(kExpiryCheckMs);
}

PooledConnection
HttpPool::Take(const Address& aAddress, const std::string& aRequestId)
{
  const auto found = idle_.find(aAddress.ToString());
  if (found == idle_.end()) {
    return {};
  }
  auto& list = found->second;
  const int64_t now = EventLoop::NowMs();
  std::erase_if(list, [now](const Idle& aIdle) {
    return now >= aIdle.expiresMs_ || !IsOpen(aIdle.pooled_.connection_);
  });
  const auto fresh =
    std::find_if(list.rbegin(), list.rend(), [&](const Idle& aIdle) {
      return !aIdle.pooled_.HasCarried(aRequestId);
    });
  if (fresh == list.rend()) {
    return {};
  }
  PooledConnection taken = std::move(fresh->pooled_);
  list.erase(std::next(fresh).base());
  return taken;
}

void
HttpPool::Put(const Address& aAddress,
              PooledConnection aConnection,
              int64_t aIdleMs)
{
  if (aConnection.carried_.size() < kMaxCarried) {
    idle_[aAddress.ToString()].push_back(
      { std::move(aConnection), EventLoop::NowMs() + aIdleMs });
  }
}

void
HttpPool::DropExpired()
{
  const int64_t now = EventLoop::NowMs();
  for (auto& [address, list] : idle_) {
    std::erase_if(list, [now](const Idle& aIdle) {
      return now >= aIdle.expiresMs_ || !IsOpen(aIdle.pooled_.connection_);
    });
  }
  std::erase_if(idle_, [](const auto& aPair) { return aPair.second.empty(); });
}

} // namespace cactuswick::transport

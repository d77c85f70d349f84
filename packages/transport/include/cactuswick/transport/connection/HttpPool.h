#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cactuswick/transport/process/Address.h"
#include "cactuswick/transport/process/EventLoop.h"

struct evhttp_connection;

namespace cactuswick::transport {

struct HttpConnectionDeleter
{
  void operator()(evhttp_connection* aConnection) const;
};

using HttpConnectionPointer =
  std::unique_ptr<evhttp_connection, HttpConnectionDeleter>;

/// A connection and the ids of the requests that it has carried.
struct PooledConnection
{
  HttpConnectionPointer connection_;
  /// Hashes of the ids.
  std::vector<uint64_t> carried_;

  bool HasCarried(const std::string& aRequestId) const;
  /// Adds an id; an empty one is ignored.
  void AddCarried(const std::string& aRequestId);
};

/// Idle keep-alive connections to HTTP servers, by address.
class HttpPool
{
public:
  explicit HttpPool(EventLoop& aLoop);
  HttpPool(const HttpPool&) = delete;
  HttpPool& operator=(const HttpPool&) = delete;

  /// Takes the most recently returned open connection that has not carried a
  /// request with this id out of the pool; its connection is null if there is
  /// none. A late copy of a response to that id would otherwise be taken for
  /// the response to the new request.
  PooledConnection Take(const Address& aAddress,
                        const std::string& aRequestId = "");

  /// Returns a connection to the pool, which keeps it for at most @p aIdleMs;
  /// one that has carried many requests is closed.
  void Put(const Address& aAddress,
           PooledConnection aConnection,
           int64_t aIdleMs);

private:
  struct Idle
  {
    PooledConnection pooled_;
    int64_t expiresMs_ = 0;
  };

  void DropExpired();

  std::map<std::string, std::vector<Idle>> idle_;
  Timer expiryTimer_;
};

} // namespace cactuswick::transport

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

/// Idle keep-alive connections to HTTP servers, by address.
class HttpPool
{
public:
  explicit HttpPool(EventLoop& aLoop);
  HttpPool(const HttpPool&) = delete;
  HttpPool& operator=(const HttpPool&) = delete;

  /// Takes the most recently returned open connection out of the pool; null if
  /// there is none.
  HttpConnectionPointer Take(const Address& aAddress);

  /// Returns a connection to the pool, which keeps it for at most @p aIdleMs.
  void Put(const Address& aAddress,
           HttpConnectionPointer aConnection,
           int64_t aIdleMs);

private:
  struct Idle
  {
    HttpConnectionPointer connection_;
    int64_t expiresMs_ = 0;
  };

  void DropExpired();

  std::map<std::string, std::vector<Idle>> idle_;
  Timer expiryTimer_;
};

} // namespace cactuswick::transport

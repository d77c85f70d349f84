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

/// Open connections to servers that wait for their next request.
class HttpPool
{
public:
  explicit HttpPool(EventLoop& aLoop);
  HttpPool(const HttpPool&) = delete;
  HttpPool& operator=(const HttpPool&) = delete;

  /// Takes the connection that was used last, or null.
  HttpConnectionPointer Take(const Address& aAddress);

  /// Keeps a connection for at most @p aIdleMs.
  void Give(const Address& aAddress,
            HttpConnectionPointer aConnection,
            int64_t aIdleMs);

private:
  struct Idle
  {
    HttpConnectionPointer connection_;
    int64_t untilMs_ = 0;
  };

  void DropExpired();

  std::map<std::string, std::vector<Idle>> idle_;
  Timer tick_;
};

} // namespace cactuswick::transport

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "cactuswick/transport/connection/HttpExchange.h"

namespace cactuswick::standin {

/// Stand-in for a plain service; counts the requests per idempotency key, so
/// that tests detect duplicate runs.
class ServiceStandin
{
public:
  ServiceStandin(transport::EventLoop& aLoop, int64_t aDelayMs);

  void Handle(std::unique_ptr<transport::HttpExchange> aExchange);
  int64_t InFlight() const { return inFlight_; }

private:
  transport::EventLoop& loop_;
  int64_t delayMs_;
  int64_t inFlight_ = 0;
  std::map<std::string, int64_t> runsByKey_;
};

} // namespace cactuswick::standin

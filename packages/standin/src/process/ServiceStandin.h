#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "cactuswick/transport/connection/HttpExchange.h"

namespace cactuswick::standin {

/// A plain service that counts how often each key has run.
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
  std::map<std::string, int64_t> runs_;
};

} // namespace cactuswick::standin

#include "process/ServiceStandin.h"

#include <utility>

#include "cactuswick/model/process/Json.h"
#include "cactuswick/transport/process/EventLoop.h"

namespace cactuswick::standin {

namespace {

using transport::HttpExchange;

constexpr int kOk = 200;

void
ReplyJson(HttpExchange& aExchange, const nlohmann::json& aBody)
{
  aExchange.Reply(
    kOk, { { "Content-Type", "application/json" } }, model::PrintJson(aBody));
}

} // namespace

ServiceStandin::ServiceStandin(transport::EventLoop& aLoop, int64_t aDelayMs)
  : loop_(aLoop)
  , delayMs_(aDelayMs)
{
}

void
ServiceStandin::Handle(std::unique_ptr<HttpExchange> aExchange)
{
  if (aExchange->Path() == "/runs") {
    ReplyJson(*aExchange, runsByKey_);
    return;
  }
  const std::string key = aExchange->HeaderValue("Idempotency-Key");
  const int64_t run = ++runsByKey_[key];
  ++inFlight_;
  const std::shared_ptr<HttpExchange> exchange = std::move(aExchange);
  auto timer = std::make_shared<std::unique_ptr<transport::Timer>>();
  *timer = std::make_unique<transport::Timer>(
    loop_, [this, exchange, run, key, timer] {
      --inFlight_;
      ReplyJson(*exchange, { { "key", key }, { "run", run } });
      loop_.Defer([timer] { timer->reset(); });
    });
  (*timer)->StartOnce(delayMs_);
}

} // namespace cactuswick::standin

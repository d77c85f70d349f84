#include "cactuswick/control/process/MetricsServer.h"

#include <utility>

namespace cactuswick::control {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;

transport::HttpServerOptions
MakeOptions(std::function<std::string()> aExpose)
{
  return { .onRequest_ =
             [expose = std::move(aExpose)](
               const std::unique_ptr<transport::HttpExchange>& aExchange) {
               if (aExchange->Path() != "/metrics") {
                 aExchange->Reply(kNotFound, {}, "see /metrics\n");
                 return;
               }
               aExchange->Reply(
                 kOk,
                 { { "Content-Type", "text/plain; version=0.0.4" } },
                 expose());
             } };
}

} // namespace

MetricsServer::MetricsServer(transport::EventLoop& aLoop,
                             std::function<std::string()> aExpose)
  : server_(aLoop, MakeOptions(std::move(aExpose)))
{
}

absl::Status
MetricsServer::Listen(const transport::Address& aAddress)
{
  return server_.Listen(aAddress);
}

} // namespace cactuswick::control
